package shutdown

import (
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/histogram"
)

const (
	// period is how long answers are added to one generation. They count until the end of the
	// next one, so for one to two minutes.
	period = time.Minute
	// minSamples is the least number of answers that have a slow end.
	minSamples = 20
	// slowEnd is the quantile of the times that a request is expected to take. A stream that is cut
	// costs its caller seconds, a refusal some milliseconds.
	slowEnd = 0.99
	// observedFactor is how many times as long as a stream is expected to take its route must have
	// been observed. Streams are observed at their end, so the long ones are missing at first: a
	// router that had served for three seconds accepted streams that took over six.
	observedFactor = 2
	// perMillionTokens makes the number of events for each token an integer.
	perMillionTokens = 1_000_000
)

// answerTimes are how long the answers of one route have taken.
type answerTimes struct {
	current, previous generation
	startedAt         time.Time
	addedAt           time.Time
	// observedSince is when the first request came since the route was last without answers.
	observedSince time.Time
}

// generation holds the times of answers that ended within one period. Streams have fewer
// tokens than they may have if they end early, so the time for each token is taken from the
// time for each event and the number of events for each token that was allowed. That is
// largest for streams that go on to their last token.
type generation struct {
	firstEvent, event, events *histogram.Histogram
}

// add records an answer.
func (t *answerTimes) add(a *boragewick.AnswerTimes, now time.Time) {
	t.advance(now)
	t.addedAt = now
	if came := now.Add(-a.FirstEvent - a.Rest); t.observedSince.IsZero() || came.Before(t.observedSince) {
		t.observedSince = came
	}
	g := &t.current
	if g.firstEvent == nil {
		*g = newGeneration()
	}
	g.firstEvent.Update(int64(a.FirstEvent))
	if a.Events > 1 && a.OutputTokens > 0 {
		g.event.Update(int64(a.Rest) / int64(a.Events-1))
		g.events.Update(int64(a.Events) * perMillionTokens / int64(a.OutputTokens))
	}
}

func newGeneration() generation {
	return generation{firstEvent: &histogram.Histogram{}, event: &histogram.Histogram{}, events: &histogram.Histogram{}}
}

// advance begins a new generation at the end of the current one.
func (t *answerTimes) advance(now time.Time) {
	switch age := now.Sub(t.startedAt); {
	case age < period:
		return
	case age < 2*period:
		t.previous = t.current
		t.startedAt = t.startedAt.Add(period)
	default:
		t.previous = generation{}
		t.startedAt = now
		t.observedSince = time.Time{}
	}
	t.current = generation{}
}

// slowEnd returns how long the request takes if all of its parts take as long as the slowest
// ones of earlier answers. It reports whether there are enough of them, from a time that is long
// enough.
func (t *answerTimes) slowEnd(r *boragewick.DrainRequest, now time.Time) (time.Duration, bool) {
	t.advance(now)
	all := newGeneration()
	for _, g := range []*generation{&t.current, &t.previous} {
		if g.firstEvent != nil {
			all.firstEvent.Merge(g.firstEvent)
			all.event.Merge(g.event)
			all.events.Merge(g.events)
		}
	}
	if all.firstEvent.Count() < minSamples {
		return 0, false
	}
	first := all.firstEvent.Percentile(slowEnd)
	if !r.Stream {
		return time.Duration(first), true
	}
	if r.OutputTokens <= 0 || all.event.Count() < minSamples {
		return 0, false
	}
	events := float64(r.OutputTokens) * all.events.Percentile(slowEnd) / perMillionTokens
	d := time.Duration(first + events*all.event.Percentile(slowEnd))
	return d, now.Sub(t.observedSince) >= observedFactor*d
}
