package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/upstream"
)

const (
	// usualMoveTime is how long a run waits for its move if it can go on otherwise. Copying its
	// KV cache takes a few milliseconds unless the engines' links are busy.
	usualMoveTime = 700 * time.Millisecond
	// moveRetryPause is the time until a move without an answer is asked for again. It doubles
	// with each call.
	moveRetryPause = 50 * time.Millisecond
	// lastReturn is how long after its departure a run may go back to an endpoint that it was
	// moved off, or was to be. The platform allows endpoints at least two seconds until requests
	// no longer reach them.
	lastReturn = 1800 * time.Millisecond
	// lastMove is how long after its departure a run is moved off an endpoint. It may have to go
	// back, and then wait for a share of the endpoint's limit.
	lastMove = lastReturn - usualMoveTime - limitWait
)

// errMoved means that the run continues from a copy of its KV cache.
var errMoved = errors.New("run moved")

// errMoveUnanswered means that the run may have been stopped for a move of which nothing more is
// known.
var errMoveUnanswered = errors.New("outcome of the move is unknown")

// errMixedCopy means that the run was stopped for a move, and that its copy may hold parts of
// newer weights than it began with.
var errMixedCopy = errors.New("weights may have changed before the run was moved")

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
	moved     chan moveResult
	forbidden atomic.Bool
	// stopped is set once the engine has closed the stream while its weights were unchanged, so
	// that a copy of the run is sound whenever it is made.
	stopped atomic.Bool
}

// moveResult is the outcome of a move. The zero value means that the run was left alone.
type moveResult struct {
	// to has the copy, unless err says that it had no room; nil if the run was left alone or
	// that is unknown.
	to       *boragewick.Candidate
	copyName string
	err      error
	// unknownSince is when the last call ended from which the outcome is not known; zero if it
	// is.
	unknownSince time.Time
	// mixed reports whether the weights may have changed by the time of the answer.
	mixed bool
}

// moveOnDrain starts a goroutine that moves the run once its endpoint accepts no
// more requests. It does nothing if runs of the pool can't be moved.
func (s *relay) moveOnDrain(ctx context.Context, l *leg) *pendingMove {
	m := &pendingMove{done: make(chan struct{}), moved: make(chan moveResult, 1)}
	if s.Mover == nil || s.pool.Engine == nil || !s.pool.Engine.Moves {
		close(m.moved)
		return m
	}
	hasBackup, w := s.backup != nil, s.watchdog
	l.canGoOn = func() bool {
		return hasBackup && !s.mayBeMixed(l.c, l.flight) || w != nil && w.canGoOn && w.takesRetry()
	}
	go func() {
		defer close(m.moved)
		select {
		case <-l.flight.Left():
		case <-m.done:
			return
		}
		m.moved <- s.move(ctx, l, m)
	}()
	return m
}

// result waits for a move in progress and returns its outcome. A move that hasn't started is
// canceled.
func (m *pendingMove) result() moveResult {
	m.stop()
	return <-m.moved
}

// forbid prevents further calls to move the run, and the use of a copy. Other than stop, it may be
// called while the run goes on.
func (m *pendingMove) forbid() { m.forbidden.Store(true) }

// wait waits for the pause and reports false if the run has ended before.
func (m *pendingMove) wait(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-m.done:
		return false
	}
}

// stop cancels a move that hasn't started.
func (m *pendingMove) stop() {
	select {
	case <-m.done:
	default:
		close(m.done)
	}
}

// move moves the run to another endpoint with the same weights and software. If there is no room
// and the endpoint leaves for good, it tries others.
func (s *relay) move(ctx context.Context, l *leg, m *pendingMove) moveResult {
	full := map[string]bool{}
	for pause := moveRetryPause; s.mayMove(ctx, l, m, false); pause *= 2 {
		to := s.moveTarget(ctx, l, full)
		if to == nil && len(full) > 0 {
			clear(full)
			to = s.moveTarget(ctx, l, full)
		}
		if to == nil {
			break
		}
		result, err := s.moveTo(ctx, l, m, to)
		leftAlone := result.to == nil && result.unknownSince.IsZero()
		if !leftAlone || !errors.Is(err, boragewick.ErrOverloaded) || l.flight.DepartedFor() == 0 {
			return result
		}
		full[to.Endpoint.Name] = true
		if !m.wait(pause) {
			break
		}
	}
	return moveResult{}
}

// moveTo stops the run and copies its KV cache to the candidate. The engine stops the run before it
// copies its KV cache, and a call that is repeated copies what is missing. So after a call without
// an answer it asks again. The error is that of the last call.
func (s *relay) moveTo(ctx context.Context, l *leg, m *pendingMove, to *boragewick.Candidate) (moveResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.watchMove(ctx, cancel)
	again := false
	for pause := moveRetryPause; ; pause *= 2 {
		asked := time.Now()
		copyName, err := s.Mover.Move(ctx, l.c.Endpoint, s.ID, to.Endpoint.Agent)
		s.logMove(l, to, copyName, again, asked, err)
		leftAlone := err == nil || errors.IsAny(err, boragewick.ErrNotRun, upstream.ErrNotSent)
		switch {
		case copyName != "":
			s.awaitNews(ctx, l.flight, nil)
			return moveResult{to: to, copyName: copyName, err: err, mixed: s.mayBeMixed(l.c, l.flight)}, err
		case !again && leftAlone:
			return moveResult{}, err
		}
		again = true
		unknownSince := time.Now()
		// The run may have been stopped by a call before, so that it isn't found any more.
		notFound := leftAlone && !errors.Is(err, boragewick.ErrOverloaded)
		if !notFound {
			waitUntil(ctx, unknownSince.Add(pause))
		}
		if notFound || ctx.Err() != nil || !s.mayMove(ctx, l, m, true) {
			s.count("moves.unanswered")
			_ = level.Warn(s.Logger).Log(append([]any{"msg", "outcome of move unknown", "id", s.ID, "from", l.c.Endpoint.Name, "err", err}, s.weightsFields(l)...)...)
			return moveResult{unknownSince: unknownSince}, err
		}
		// The run can go back where it was if there is no other endpoint any more.
		if !s.isSelectable(ctx, to, l.sel) {
			if other := s.moveTarget(ctx, l, nil); other != nil {
				to = other
			}
		}
	}
}

// mayMove reports whether the run may be stopped to be moved, or again reports whether it may
// have been stopped before. A call that is repeated is a decision of its own, as the engine
// may have changed its weights since the last one.
func (s *relay) mayMove(ctx context.Context, l *leg, m *pendingMove, again bool) bool {
	latest, canceled := lastMove, m.done
	if again {
		latest, canceled = lastReturn, nil
	}
	s.awaitNews(ctx, l.flight, canceled)
	return !m.forbidden.Load() && l.flight.DepartedFor() <= latest && l.c.Weights != "" &&
		s.mayStartOn(l.c.Weights) && (again && m.stopped.Load() || !s.mayBeMixed(l.c, l.flight))
}

// moveTarget returns the best other endpoint with the same weights and software that is not known
// to be full; nil if there is none.
func (s *relay) moveTarget(ctx context.Context, l *leg, full map[string]bool) *boragewick.Candidate {
	c := l.c
	others := *l.sel
	others.Avoid = func(name string) bool { return name == c.Endpoint.Name || s.refused[name] || full[name] }
	candidates, err := s.Placer.Select(ctx, others)
	if err != nil {
		return nil
	}
	for i := range candidates {
		to := &candidates[i]
		if to.Weights == c.Weights && to.Endpoint.Build == c.Endpoint.Build && to.Limit == nil {
			return to
		}
	}
	return nil
}

// logMove logs a call to move a run.
func (s *relay) logMove(l *leg, to *boragewick.Candidate, copyName string, again bool, asked time.Time, err error) {
	msg := "run moved"
	if copyName == "" {
		msg = "run not moved"
		s.count("moves.without_copy")
	}
	fields := []any{
		"msg", msg, "id", s.ID, "from", l.c.Endpoint.Name, "to", to.Endpoint.Name, "copy", copyName, "again", again,
		"took_ms", time.Since(asked).Milliseconds(), "departed_ms", l.flight.DepartedFor().Milliseconds(), "err", err,
	}
	_ = level.Info(s.Logger).Log(append(fields, s.weightsFields(l)...)...)
}

// moved returns where a run goes on that has stopped and of which there is a copy: at the
// candidate, or where it was stopped if that had no room or takes no work any more by now. It
// returns nil if neither may get the run any more.
func (s *relay) moved(ctx context.Context, l *leg, r *moveResult) *resumePoint {
	if r.err == nil && s.isSelectable(ctx, r.to, l.sel) {
		return &resumePoint{to: r.to, copyName: r.copyName, source: l.c, sourceFlight: l.flight}
	}
	if l.flight.DepartedFor() > lastReturn {
		return nil
	}
	return &resumePoint{to: l.c, copyName: r.copyName, back: true, full: r.to.Endpoint.Name}
}

// watchMove cancels a move after usualMoveTime if the run can go on from its backup or the last
// event. Otherwise the copy is all that is left of the run, and the move is canceled only once its
// engine is lost.
func (l *leg) watchMove(ctx context.Context, cancel context.CancelFunc) {
	waitUntil(ctx, time.Now().Add(usualMoveTime))
	if ctx.Err() != nil {
		return
	}
	if l.canGoOn() {
		cancel()
		return
	}
	for ctx.Err() == nil {
		outage := l.flight.Lost()
		select {
		case <-outage:
		case <-ctx.Done():
			return
		}
		waitUntil(ctx, time.Now().Add(finalSilenceTimeout))
		if l.flight.Lost() == outage {
			cancel()
		}
	}
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

// resumeMoved sets where the run of a stream that ended continues if it was moved, and returns
// errMoved. It returns errMixedCopy or errMoveUnanswered if the run was stopped for a move, or may
// have been, and can't continue from a copy, and nil if it wasn't moved. closed reports whether
// the stream ended by a regular close.
func (s *relay) resumeMoved(ctx context.Context, l *leg, closed bool) error {
	// A later change of the weights doesn't concern the copy if the engine has closed the stream.
	// A reset doesn't tell that it has stopped the run.
	stopped := closed && !l.pending.forbidden.Load() && !s.mayBeMixed(l.c, l.flight)
	l.pending.stopped.Store(stopped)
	result := l.pending.result()
	switch {
	case result.to != nil && (l.pending.forbidden.Load() || !stopped && result.mixed):
		s.count("moves.mixed_weights")
		_ = level.Warn(s.Logger).Log(append([]any{"msg", "copy of a run not used as its weights may have changed", "id", s.ID, "from", s.endpoint, "copy", result.copyName, "events", s.events}, s.weightsFields(l)...)...)
		return errMixedCopy
	case result.to != nil:
		if s.resume = s.moved(ctx, l, &result); s.resume == nil {
			return errMoveUnanswered
		}
		if s.resume.full != "" {
			s.refuse(s.resume.full)
		}
		return errMoved
	case result.unknownSince.IsZero() || s.lastAt.After(result.unknownSince.Add(usualMoveTime)):
		return nil // no engine goes on with a run for so long that it has stopped
	default:
		return errMoveUnanswered
	}
}
