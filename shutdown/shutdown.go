// Package shutdown decides which requests a stopping router still accepts, from the time until
// connections are closed and the time that earlier answers of the request's route have taken.
package shutdown

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
)

const (
	// retryAfter is when a refused caller may come back. Retries go to other routers, which
	// have no reason to refuse them.
	retryAfter = 50 * time.Millisecond
	// slowdown is how many times as long as by the earlier answers of its route a request may
	// take. Engines get slower while others change their weights: a stream that was expected
	// to end within 5.7 s was cut then.
	slowdown = 1.25
	// maxRoutes bounds the memory for answer times: some 5 KB for each route.
	maxRoutes = 64
)

// Policy is a boragewick.DrainPolicy. Its fields are set before use; it is safe for concurrent
// use. It accepts everything before Stop.
type Policy struct {
	// Clock defaults to boragewick.SystemClock.
	Clock   boragewick.Clock
	Logger  log.Logger
	Metrics metrics.Registry

	stopping atomic.Bool

	mu sync.Mutex
	// closesAt is when answers that have begun are cut off.
	closesAt time.Time
	routes   map[string]*answerTimes
}

var _ boragewick.DrainPolicy = (*Policy)(nil)

// Stop records that the router stops. closesAt is when answers that have begun are cut off.
// Further calls have no effect.
func (p *Policy) Stop(closesAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopping.Load() {
		return
	}
	p.closesAt = closesAt
	p.stopping.Store(true)
}

// Admit implements boragewick.DrainPolicy.
func (p *Policy) Admit(r *boragewick.DrainRequest) error {
	if !p.stopping.Load() {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	remaining := p.closesAt.Sub(now)
	expected, observed := p.expected(r, now)
	if observed {
		expected = min(time.Duration(slowdown*float64(expected)), r.Deadline.Sub(now))
	}
	accepted := expected <= remaining
	if p.Logger != nil {
		_ = level.Info(p.Logger).Log("msg", "request while the router stops", "accepted", accepted, "id", r.ID, "route", r.Route, "output_tokens", r.OutputTokens,
			"remaining_ms", remaining.Milliseconds(), "expected_ms", expected.Milliseconds(), "observed", observed)
	}
	if accepted {
		return nil
	}
	if p.Metrics != nil {
		metrics.GetOrRegisterCounter("requests.refused_stopping", p.Metrics).Inc(1)
	}
	err := errors.Wrapf(boragewick.ErrDraining, "expected to take %s of the remaining %s", expected, remaining)
	return boragewick.NotRun(&boragewick.RetryError{At: now.Add(retryAfter), Err: err})
}

// expected returns how long the request takes at the slow end, and whether that is observed.
// No request takes longer than until its deadline.
func (p *Policy) expected(r *boragewick.DrainRequest, now time.Time) (time.Duration, bool) {
	longest := r.Deadline.Sub(now)
	if t := p.routes[r.Route]; t != nil {
		if d, ok := t.slowEnd(r, now); ok {
			return min(d, longest), true
		}
	}
	if !r.Stream || r.OutputTokens <= 0 || r.LongestPause <= 0 || r.FirstEventWithin <= 0 {
		return longest, false
	}
	if r.LongestPause > longest/time.Duration(r.OutputTokens) {
		return longest, false // the product could overflow
	}
	// An event has at least one token.
	return min(r.FirstEventWithin+time.Duration(r.OutputTokens)*r.LongestPause, longest), false
}

// Observe implements boragewick.DrainPolicy.
func (p *Policy) Observe(route string, a *boragewick.AnswerTimes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	t := p.routes[route]
	if t == nil {
		if p.routes == nil {
			p.routes = map[string]*answerTimes{}
		}
		if len(p.routes) >= maxRoutes {
			p.forgetOldest()
		}
		t = &answerTimes{}
		p.routes[route] = t
	}
	t.add(a, now)
}

// forgetOldest forgets the route whose last answer is the oldest.
func (p *Policy) forgetOldest() {
	oldest := ""
	for name, t := range p.routes {
		if oldest == "" || t.addedAt.Before(p.routes[oldest].addedAt) {
			oldest = name
		}
	}
	delete(p.routes, oldest)
}

func (p *Policy) now() time.Time {
	if p.Clock == nil {
		return boragewick.SystemClock.Now()
	}
	return p.Clock.Now()
}
