// Package ejector keeps failing endpoints out of a selector's choices for a
// while and lets them back one trial at a time.
package ejector

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	// maxFailures is the number of failures in a row that eject an endpoint.
	maxFailures = 3
	// minEjectionSeconds is the length of a first ejection; each further one
	// is twice as long, up to maxDoublings.
	minEjectionSeconds = 1
	maxDoublings       = 5
	// trialSeconds is how long a trial may stay without a report.
	trialSeconds = 5
	// calmSeconds without another ejection make the next one a first one.
	calmSeconds = 60
	// keptShare is the reciprocal of the share of a pool that is never ejected.
	keptShare = 2
)

// failures are the errors that speak against an endpoint. A refusal, a bad
// request and a caller that went away do not.
var failures = []error{
	boragewick.ErrEndpointFailed,
	boragewick.ErrLinkLost,
	boragewick.ErrTimeout,
	boragewick.ErrWrongAnswer,
	boragewick.ErrProtocol,
}

// Ejector is a Selector that leaves out endpoints whose last dispatches
// failed, but never more than half of a pool. It is safe for concurrent use.
type Ejector struct {
	// Selector chooses among the endpoints that are left.
	boragewick.Selector
	// Clock defaults to the clock of the instance.
	Clock boragewick.Clock

	mu        sync.Mutex
	endpoints map[string]*state
	pools     map[string]*pool
}

// pool counts the endpoints of a pool.
type pool struct {
	total   int
	ejected int
}

// state is what is known of one endpoint. A state with an ejection is over
// only after a dispatch that succeeded.
type state struct {
	*pool
	incarnation boragewick.Incarnation
	poolName    string
	failures    int
	ejected     bool
	ejections   int
	// until is when the next trial may start.
	until time.Time
	// calm is when earlier ejections are forgotten.
	calm time.Time
}

// Update passes the changes on. An endpoint's new run starts without failures.
func (j *Ejector) Update(changes ...boragewick.EndpointChange) {
	j.mu.Lock()
	for i := range changes {
		j.update(&changes[i])
	}
	j.mu.Unlock()
	j.Selector.Update(changes...)
}

// Select asks the inner selector to leave out what is ejected. When nothing is
// left, ejected endpoints are better than none.
func (j *Ejector) Select(ctx context.Context, s boragewick.Selection) ([]boragewick.Candidate, error) {
	wanted := s
	s.Avoid = func(name string) bool {
		return wanted.Avoid != nil && wanted.Avoid(name) || j.isEjected(name)
	}
	out, err := j.Selector.Select(ctx, s)
	if errors.Is(err, boragewick.ErrNoEndpoint) {
		out, err = j.Selector.Select(ctx, wanted)
	}
	if err == nil {
		j.startTrial(out[0].Endpoint.Name)
	}
	return out, err
}

// Report counts failures in a row and ejects or readmits the endpoint.
func (j *Ejector) Report(r boragewick.DispatchReport) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.endpoints[r.Endpoint]
	if s == nil || s.incarnation != r.Incarnation {
		return
	}
	switch {
	case r.Err == nil:
		s.readmit()
	case errors.IsAny(r.Err, failures...):
		j.fail(s)
	}
}

// Ejected returns the number of endpoints of the pool that are left out.
func (j *Ejector) Ejected(pool string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if p := j.pools[pool]; p != nil {
		return p.ejected
	}
	return 0
}

func (j *Ejector) update(c *boragewick.EndpointChange) {
	e := &c.Endpoint
	old := j.endpoints[e.Name]
	if old != nil && !c.Removed && old.incarnation == e.Incarnation && old.poolName == e.Pool {
		return
	}
	if old != nil {
		old.readmit()
		old.total--
		delete(j.endpoints, e.Name)
	}
	if c.Removed {
		return
	}
	if j.endpoints == nil {
		j.endpoints = map[string]*state{}
		j.pools = map[string]*pool{}
	}
	if j.pools[e.Pool] == nil {
		j.pools[e.Pool] = &pool{}
	}
	j.endpoints[e.Name] = &state{pool: j.pools[e.Pool], incarnation: e.Incarnation, poolName: e.Pool}
	j.pools[e.Pool].total++
}

func (j *Ejector) isEjected(name string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.endpoints[name]
	return s != nil && s.ejected && j.now().Before(s.until)
}

// startTrial makes the choice of an ejected endpoint its only one until the
// dispatch is reported.
func (j *Ejector) startTrial(name string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.now()
	s := j.endpoints[name]
	if s != nil && s.ejected && !now.Before(s.until) {
		s.until = now.Add(trialSeconds * time.Second)
	}
}

// fail counts a failure. A failed trial ejects again at once.
func (j *Ejector) fail(s *state) {
	s.failures++
	if s.failures < maxFailures {
		return
	}
	if !s.ejected && (s.pool.ejected+1)*keptShare > s.total {
		return
	}
	now := j.now()
	if now.After(s.calm) {
		s.ejections = 0
	}
	if !s.ejected {
		s.ejected = true
		s.pool.ejected++
	}
	seconds := minEjectionSeconds << min(s.ejections, maxDoublings)
	s.ejections++
	s.until = now.Add(time.Duration(seconds) * time.Second)
	s.calm = s.until.Add(calmSeconds * time.Second)
}

func (s *state) readmit() {
	s.failures = 0
	if s.ejected {
		s.ejected = false
		s.pool.ejected--
	}
}

func (j *Ejector) now() time.Time {
	if j.Clock == nil {
		return boragewick.SystemClock.Now()
	}
	return j.Clock.Now()
}
