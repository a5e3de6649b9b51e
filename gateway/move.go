package gateway

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/upstream"
)

const (
	// moveTimeout bounds the move of one run. Copying its KV cache takes a few
	// milliseconds unless the engines' links are busy.
	moveTimeout = 700 * time.Millisecond
	// lastReturn is how long after its departure a run may go back to an endpoint that it was
	// moved off, or was to be. The platform allows endpoints at least two seconds until requests
	// no longer reach them.
	lastReturn = 1800 * time.Millisecond
	// lastMove is how long after its departure a run is moved off an endpoint. It may have to go
	// back, and then wait for a share of the endpoint's limit.
	lastMove = lastReturn - moveTimeout - limitWait
)

// errMoved means that the run continues from a copy of its KV cache.
var errMoved = errors.New("run moved")

// resumePoint is where a moved or recovered run continues.
type resumePoint struct {
	to *boragewick.Candidate
	// copyName names the copy of the run's KV cache.
	copyName string
	// source is the endpoint that has stopped the run and keeps its KV cache; nil if it
	// does not.
	source *boragewick.Candidate
	// sourceFlight is the run's request to source.
	sourceFlight boragewick.Flight
	// back reports whether the run goes back to where it was stopped.
	back bool
	// full is the endpoint that had no room for the run; empty without one.
	full string
}

// pendingMove is a move of a run that starts once its endpoint is draining.
type pendingMove struct {
	done      chan struct{}
	moved     chan *resumePoint
	forbidden atomic.Bool
}

// moveOnDrain starts a goroutine that moves the run once its endpoint accepts no
// more requests. It does nothing if runs of the pool can't be moved.
func (s *relay) moveOnDrain(ctx context.Context, l *leg) *pendingMove {
	m := &pendingMove{done: make(chan struct{}), moved: make(chan *resumePoint, 1)}
	if s.Mover == nil || s.pool.Engine == nil || !s.pool.Engine.Moves {
		close(m.moved)
		return m
	}
	go func() {
		defer close(m.moved)
		select {
		case <-l.flight.Left():
		case <-m.done:
			return
		}
		if m.forbidden.Load() {
			return
		}
		if h := s.move(ctx, l); h != nil {
			m.moved <- h
		}
	}()
	return m
}

// result waits for a move in progress and returns where the run continues, or
// nil. A move that hasn't started is canceled.
func (m *pendingMove) result() *resumePoint {
	m.stop()
	return <-m.moved
}

// forbid prevents a move that hasn't started. Other than stop, it may be called while the
// run goes on.
func (m *pendingMove) forbid() { m.forbidden.Store(true) }

// stop cancels a move that hasn't started.
func (m *pendingMove) stop() {
	select {
	case <-m.done:
	default:
		close(m.done)
	}
}

// move stops the run and copies its KV cache to another endpoint with the same
// weights and software. It returns where the run continues, or nil if it was left alone.
func (s *relay) move(ctx context.Context, l *leg) *resumePoint {
	c, flight := l.c, l.flight
	if flight.DepartedFor() > lastMove {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	if c.Weights == "" || !s.mayStartOn(c.Weights) || flight.WeightsChange() == boragewick.WeightsChanged {
		return nil
	}
	others := *l.sel
	others.Avoid = func(name string) bool { return name == c.Endpoint.Name || s.refused[name] }
	candidates, err := s.Placer.Select(ctx, others)
	if err != nil {
		return nil // the run stays where it is
	}
	for i := range candidates {
		to := &candidates[i]
		if to.Weights != c.Weights || to.Endpoint.Build != c.Endpoint.Build || to.Limit != nil {
			continue
		}
		copyName, err := s.Mover.Move(ctx, c.Endpoint, s.ID, to.Endpoint.Agent)
		_ = level.Info(s.Logger).Log("msg", "run moved", "id", s.ID, "from", c.Endpoint.Name, "to", to.Endpoint.Name, "copy", copyName, "err", err)
		switch {
		case copyName == "":
			return nil
		case err != nil:
			return &resumePoint{to: c, copyName: copyName, back: true, full: to.Endpoint.Name} // the run has stopped and resumes at its old endpoint
		default:
			return &resumePoint{to: to, copyName: copyName, source: c, sourceFlight: flight}
		}
	}
	return nil
}

// returnToSource makes a run that was moved go on where it was stopped, if the endpoint with
// the copy did not run it. It reports whether it does.
func (s *relay) returnToSource(moved *resumePoint, err error) bool {
	if moved == nil || moved.source == nil || !errors.IsAny(err, boragewick.ErrNotRun, upstream.ErrNotSent) {
		return false
	}
	if moved.sourceFlight.DepartedFor() > lastReturn {
		_ = level.Info(s.Logger).Log("msg", "moved run can't go back", "id", s.ID, "from", moved.to.Endpoint.Name, "to", moved.source.Endpoint.Name, "events", s.events, "err", err)
		return false
	}
	s.resume = &resumePoint{to: moved.source, copyName: moved.copyName, back: true}
	s.refuse(moved.to.Endpoint.Name)
	_ = level.Info(s.Logger).Log("msg", "moved run goes back", "id", s.ID, "from", moved.to.Endpoint.Name, "to", moved.source.Endpoint.Name, "events", s.events, "err", err)
	return true
}

// refuse keeps the run from being moved to an endpoint that did not take it.
func (s *relay) refuse(endpoint string) {
	if s.refused == nil {
		s.refused = map[string]bool{}
	}
	s.refused[endpoint] = true
}

// resumeMoved sets where the run continues if it was moved, and reports whether it was.
func (s *relay) resumeMoved(pending *pendingMove) bool {
	s.resume = pending.result()
	if s.resume == nil {
		return false
	}
	if s.resume.full != "" {
		s.refuse(s.resume.full)
	}
	return true
}

// mayStartOn reports whether a run may start, also from a copy of its KV cache, on the
// version of the weights.
func (s *relay) mayStartOn(weights string) bool {
	_, least := s.leastWeights(lastStartFraction)
	version, err := strconv.ParseUint(weights, 10, 64)
	return least == 0 || err == nil && version >= least
}

// mayBeMixed reports whether the KV cache of the run at the candidate may hold parts of newer
// weights than it began with, which the next event of its stream would have told.
func (s *relay) mayBeMixed(c *boragewick.Candidate, flight boragewick.Flight) bool {
	switch flight.WeightsChange() {
	case boragewick.WeightsUnchanged:
		return false
	case boragewick.WeightsChanged:
		return true
	default:
		return s.weightsAge(c) > 0
	}
}

// recover returns where a run whose stream broke continues from the backup copy
// of its KV cache, or nil if there is no backup, no event has arrived yet, the weights
// are too old or may have changed under the run, or the backup's endpoint takes no new work
// any more.
func (s *relay) recover(ctx context.Context, l *leg, cause error) *resumePoint {
	if s.backup == nil || s.events == 0 {
		return nil
	}
	to := s.backup
	if s.mayBeMixed(l.c, l.flight) {
		s.count("backups.mixed_weights")
		_ = level.Info(s.Logger).Log("msg", "run not recovered as its weights may have changed", "id", s.ID, "from", s.endpoint, "weights", l.c.Weights, "events", s.events, "err", cause)
		return nil
	}
	if !s.mayStartOn(to.Weights) {
		_ = level.Info(s.Logger).Log("msg", "run not recovered on expired weights", "id", s.ID, "from", s.endpoint, "weights", to.Weights, "events", s.events, "err", cause)
		return nil
	}
	if !s.isSelectable(ctx, to, l.sel) {
		_ = level.Info(s.Logger).Log("msg", "run not recovered at unavailable endpoint", "id", s.ID, "from", s.endpoint, "to", to.Endpoint.Name, "events", s.events, "err", cause)
		return nil
	}
	s.backup = nil
	_ = level.Info(s.Logger).Log("msg", "run recovered", "id", s.ID, "from", s.endpoint, "to", to.Endpoint.Name, "events", s.events, "err", cause)
	return &resumePoint{to: to, copyName: s.Mover.Backup(to.Endpoint.Agent, s.ID)}
}

// isSelectable reports whether the endpoint, in the same run, still takes new work.
func (s *relay) isSelectable(ctx context.Context, c *boragewick.Candidate, sel *boragewick.Selection) bool {
	only := *sel
	only.Avoid = func(name string) bool { return name != c.Endpoint.Name }
	candidates, err := s.Placer.Select(ctx, only)
	return err == nil && candidates[0].Endpoint.Incarnation == c.Endpoint.Incarnation
}
