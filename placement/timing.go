package placement

import (
	"time"

	"github.com/boragewick/boragewick"
)

// timing is what is needed to compare a request's time to its first event with the forecast,
// and to learn from it.
type timing struct {
	load boragewick.ServiceLoad
	// attributable reports whether the load at the time of sending is known, so that the
	// time can be attributed to it.
	attributable bool
	// expected is the forecast in milliseconds, if forecast is set.
	expected float64
	forecast bool
	route    string
	// started is set with the first event, and failed by an answer that is an error.
	started, failed bool
}

// newTiming describes a request that is sent now.
func (s *endpointState) newTiming(c *boragewick.Candidate, sel *boragewick.Selection, now time.Time) timing {
	t := timing{expected: c.ServiceMillis, forecast: !c.FirstToken.IsZero() && !sel.Resumed, route: sel.Route}
	if s.learnsRates() {
		t.load = s.load(max(0, int(sel.PromptTokens)-c.Matched), now)
		t.attributable = s.isAttributable(c, sel, now)
	}
	return t
}

// isAttributable reports whether the time of a request that is sent now tells how long the
// known work takes. A fetch of cached parts takes a time of its own. This router's requests
// that have had no event yet may be missing from the newest report.
func (s *endpointState) isAttributable(c *boragewick.Candidate, sel *boragewick.Selection, now time.Time) bool {
	switch {
	case s.Kind == boragewick.EndpointPlain:
		return true
	case c.Source.IsValid() || sel.Resumed:
		return false
	case s.report != nil:
		return !s.report.down && (s.prefillTokens == 0 || s.report.queued+s.report.prefilling > 0)
	default:
		return now.Sub(s.loadReportedAt) <= headerLoadTTL
	}
}

// noteStart records the time of the first event.
func (f *inFlightRequest) noteStart(now time.Time) {
	t := &f.timing
	if t.started || t.failed || f.ended {
		return
	}
	t.started = true
	millis := millisBetween(f.begunAt, now)
	if t.forecast {
		f.placement.forecasts.add(f.placement.Metrics, f.endpoint.Name, t.route, millis-t.expected, now)
	}
	f.learn(millis, now)
}

// noteEnd records the end of a request. One without an event has taken at least until now.
func (f *inFlightRequest) noteEnd(now time.Time) {
	if !f.timing.started && !f.timing.failed {
		f.learn(millisBetween(f.begunAt, now), now)
	}
}

// learn adds the request's time to what is known of the endpoint.
func (f *inFlightRequest) learn(millis float64, now time.Time) {
	s, t := f.endpoint, &f.timing
	if !t.attributable {
		return
	}
	s.learned().Observe(&boragewick.ServiceSample{Load: t.load, At: now, Millis: millis, Unfinished: !t.started, Factor: s.pace.at(now)})
	f.placement.logStanding(s, now)
}

// millisBetween returns the time between two instants in milliseconds.
func millisBetween(from, to time.Time) float64 {
	return float64(to.Sub(from)) / float64(time.Millisecond)
}
