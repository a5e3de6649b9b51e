// Package ejector temporarily excludes failing endpoints from a selector's
// choices and readmits them through one trial request at a time.
package ejector

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	// maxFailures is the number of consecutive failures that eject an endpoint.
	maxFailures = 3
	// minEjectionSeconds is the duration of the first ejection. It doubles with
	// each further one, up to maxDoublings times.
	minEjectionSeconds = 1
	maxDoublings       = 5
	// trialTimeoutSeconds is the time after which a new trial may start if the last
	// one has neither succeeded nor failed.
	trialTimeoutSeconds = 5
	// ejectionResetSeconds after the end of an ejection, the next one counts as the
	// first again.
	ejectionResetSeconds = 60
	// ejectableDivisor limits ejections to 1/ejectableDivisor of a pool.
	ejectableDivisor = 2
)

// endpointErrors are the errors that count as failures of an endpoint. A
// refusal, a malformed request and a caller that disconnects do not.
var endpointErrors = []error{
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
	// Clock defaults to boragewick.SystemClock.
	Clock boragewick.Clock

	mu        sync.Mutex
	endpoints map[string]*endpointState
	pools     map[string]*pool
}

// pool counts the endpoints of a pool.
type pool struct {
	total   int
	ejected int
}

// endpointState is the failure state of one endpoint. An ejected endpoint is
// readmitted only after a dispatch that succeeded.
type endpointState struct {
	*pool
	incarnation boragewick.Incarnation
	poolName    string
	failures    int
	ejected     bool
	ejections   int
	// nextTrial is when the next trial may start.
	nextTrial time.Time
	// resetAt is when earlier ejections stop counting.
	resetAt time.Time
}

// Update passes the changes on to the Selector. A new run of an endpoint starts
// without failures.
func (j *Ejector) Update(changes ...boragewick.EndpointChange) {
	j.mu.Lock()
	for i := range changes {
		j.update(&changes[i])
	}
	j.mu.Unlock()
	j.Selector.Update(changes...)
}

// Select has the Selector leave out ejected endpoints. When none is left, it
// selects again with them, as an ejected endpoint is better than none.
func (j *Ejector) Select(ctx context.Context, s boragewick.Selection) ([]boragewick.Candidate, error) {
	if !j.anyEjected() {
		return j.Selector.Select(ctx, s)
	}
	original := s
	s.Avoid = func(name string) bool {
		return original.Avoid != nil && original.Avoid(name) || j.isEjected(name)
	}
	out, err := j.Selector.Select(ctx, s)
	if errors.Is(err, boragewick.ErrNoEndpoint) {
		out, err = j.Selector.Select(ctx, original)
	}
	if err == nil {
		j.startTrial(out[0].Endpoint.Name)
	}
	return out, err
}

// Report counts consecutive failures and ejects or readmits the endpoint.
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
	case errors.IsAny(r.Err, endpointErrors...):
		j.recordFailure(s)
	}
}

// Ejected returns the number of endpoints of the pool that are ejected.
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
		j.endpoints = map[string]*endpointState{}
		j.pools = map[string]*pool{}
	}
	if j.pools[e.Pool] == nil {
		j.pools[e.Pool] = &pool{}
	}
	j.endpoints[e.Name] = &endpointState{pool: j.pools[e.Pool], incarnation: e.Incarnation, poolName: e.Pool}
	j.pools[e.Pool].total++
}

// anyEjected reports whether an endpoint of any pool is ejected.
func (j *Ejector) anyEjected() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, p := range j.pools {
		if p.ejected > 0 {
			return true
		}
	}
	return false
}

func (j *Ejector) isEjected(name string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.endpoints[name]
	return s != nil && s.ejected && j.now().Before(s.nextTrial)
}

// startTrial starts a trial of the endpoint if it is ejected and a trial is due.
// No other trial starts until the dispatch is reported or the trial times out.
func (j *Ejector) startTrial(name string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.now()
	s := j.endpoints[name]
	if s != nil && s.ejected && !now.Before(s.nextTrial) {
		s.nextTrial = now.Add(trialTimeoutSeconds * time.Second)
	}
}

// recordFailure counts a failure. A failed trial ejects the endpoint again at
// once.
func (j *Ejector) recordFailure(s *endpointState) {
	s.failures++
	if s.failures < maxFailures {
		return
	}
	if !s.ejected && (s.pool.ejected+1)*ejectableDivisor > s.total {
		return
	}
	now := j.now()
	if now.After(s.resetAt) {
		s.ejections = 0
	}
	if !s.ejected {
		s.ejected = true
		s.pool.ejected++
	}
	seconds := minEjectionSeconds << min(s.ejections, maxDoublings)
	s.ejections++
	s.nextTrial = now.Add(time.Duration(seconds) * time.Second)
	s.resetAt = s.nextTrial.Add(ejectionResetSeconds * time.Second)
}

func (s *endpointState) readmit() {
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
