package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

// moveTimeout bounds the move of one run. A copy takes a few milliseconds unless
// the links of the engines are busy.
const moveTimeout = 700 * time.Millisecond

// errMoved tells that a run goes on at another endpoint.
var errMoved = errors.New("run moved")

// handover is where a moved run goes on.
type handover struct {
	to *boragewick.Candidate
	// from names the copy of the run's memory.
	from string
}

// move is a move of a run that is made when its endpoint leaves.
type move struct {
	done  chan struct{}
	moved chan *handover
}

// moveWhenLeaving moves the run once its endpoint takes no new work any more.
func (s *relay) moveWhenLeaving(ctx context.Context, c *boragewick.Candidate, sel *boragewick.Selection, flight boragewick.Flight) *move {
	m := &move{done: make(chan struct{}), moved: make(chan *handover, 1)}
	if s.Mover == nil || s.pool.Engine == nil || !s.pool.Engine.Moves {
		close(m.moved)
		return m
	}
	go func() {
		defer close(m.moved)
		select {
		case <-flight.Left():
		case <-m.done:
			return
		}
		if h := s.move(ctx, c, sel); h != nil {
			m.moved <- h
		}
	}()
	return m
}

// result waits for a move under way and returns where the run goes on, or nil.
func (m *move) result() *handover {
	m.stop()
	return <-m.moved
}

// stop ends the wait for the endpoint to leave.
func (m *move) stop() {
	select {
	case <-m.done:
	default:
		close(m.done)
	}
}

// move copies the run to another endpoint with the same weights and stops it.
func (s *relay) move(ctx context.Context, c *boragewick.Candidate, sel *boragewick.Selection) *handover {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	if version, err := strconv.ParseUint(c.Weights, 10, 64); err != nil || version < s.leastWeights(moveShare) {
		return nil // it would begin anew on weights that are too old
	}
	elsewhere := *sel
	elsewhere.Avoid = func(name string) bool { return name == c.Endpoint.Name }
	candidates, err := s.Placer.Select(ctx, elsewhere)
	if err != nil {
		return nil // the run goes on where it is
	}
	for i := range candidates {
		to := &candidates[i]
		if to.Weights != c.Weights {
			continue
		}
		from, err := s.Mover.Move(ctx, c.Endpoint, s.ID, to.Endpoint.Agent)
		_ = level.Info(s.Logger).Log("msg", "run moved", "id", s.ID, "from", c.Endpoint.Name, "to", to.Endpoint.Name, "copy", from, "err", err)
		switch {
		case from == "":
			return nil
		case err != nil:
			return &handover{to: c, from: from} // it has stopped and goes on where it was
		default:
			return &handover{to: to, from: from}
		}
	}
	return nil
}

// recover returns where a run that broke off goes on with the copy of its
// memory, or nil.
func (s *relay) recover(cause error) *handover {
	if s.backup == nil || s.events == 0 {
		return nil
	}
	to := s.backup
	s.backup = nil
	_ = level.Info(s.Logger).Log("msg", "run recovered", "id", s.ID, "from", s.endpoint, "to", to.Endpoint.Name, "events", s.events, "err", cause)
	return &handover{to: to, from: s.Mover.Backup(to.Endpoint.Agent, s.ID)}
}
