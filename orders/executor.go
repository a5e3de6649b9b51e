// Package orders carries out a leader's orders at the agent beside an engine.
package orders

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// settleSeconds is how long an engine that checks no fencing number is left
// alone after an order whose outcome is unknown.
const settleSeconds = 10

// Executor implements boragewick.OrderTaker in front of an engine. It checks
// the fencing number of each order itself, whether or not the engine does, and
// passes orders on one at a time.
type Executor struct {
	// Engine carries the orders out.
	Engine boragewick.OrderTaker
	// EngineFences tells that the engine refuses old fencing numbers itself.
	EngineFences bool
	// Incarnation is the run of the agent.
	Incarnation boragewick.Incarnation

	once    sync.Once
	turn    chan struct{}
	mu      sync.Mutex
	known   bool
	newest  boragewick.Fencing
	done    bool
	settled time.Time
}

// Learn tells the newest fencing that the control replicas have agreed on. No
// order is taken before the first call.
func (x *Executor) Learn(f boragewick.Fencing) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.known = true
	if x.newest.Less(f) {
		x.newest = f
		x.done = false
	}
}

// Order carries the order out. Repeating the newest order is safe. The errors
// ErrFenced, ErrTimeout and ErrCanceled are marked not run when the engine has
// not had the order.
func (x *Executor) Order(ctx context.Context, o boragewick.Order) error {
	x.once.Do(func() { x.turn = make(chan struct{}, 1) })
	if _, err := x.admit(&o); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, o.Deadline)
	defer cancel()
	select {
	case x.turn <- struct{}{}:
		defer func() { <-x.turn }()
	case <-ctx.Done():
		return notRun(ctx)
	}
	if err := x.settle(ctx); err != nil {
		return err
	}
	// A newer order may have come during the wait.
	done, err := x.admit(&o)
	if err != nil || done {
		return err
	}
	err = x.Engine.Order(ctx, o)
	x.finish(&o, err)
	return err
}

// admit refuses orders that are older than one already seen or for another run
// of the agent, and reports whether the order was carried out before.
func (x *Executor) admit(o *boragewick.Order) (bool, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case o.Incarnation != x.Incarnation:
		return false, boragewick.NotRun(errors.Wrapf(boragewick.ErrFenced, "order for the agent's run %s", o.Incarnation))
	case !x.known:
		return false, boragewick.NotRun(errors.Wrap(boragewick.ErrFenced, "the current fencing number is not known yet"))
	case o.Less(x.newest):
		return false, boragewick.NotRun(errors.Wrapf(boragewick.ErrFenced, "order %d of %d after %d of %d", o.Number, o.Fence, x.newest.Number, x.newest.Fence))
	}
	if x.newest.Less(o.Fencing) {
		x.newest = o.Fencing
		x.done = false
	}
	return x.done, nil
}

// settle waits until an earlier order of unknown outcome can have no effect.
func (x *Executor) settle(ctx context.Context) error {
	x.mu.Lock()
	wait := time.Until(x.settled)
	x.mu.Unlock()
	if wait <= 0 {
		return nil
	}
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return notRun(ctx)
	}
}

func (x *Executor) finish(o *boragewick.Order, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if err == nil {
		x.done = x.newest == o.Fencing
		return
	}
	if !x.EngineFences && !errors.Is(err, boragewick.ErrNotRun) {
		x.settled = time.Now().Add(settleSeconds * time.Second)
	}
}

func notRun(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return boragewick.NotRun(errors.Wrap(boragewick.ErrTimeout, "before the order"))
	}
	return boragewick.NotRun(errors.Wrap(boragewick.ErrCanceled, "before the order"))
}
