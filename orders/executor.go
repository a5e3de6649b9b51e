// Package orders executes the leader's orders at the agent of an engine.
package orders

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// settleSeconds is how long an engine that does not check fencing numbers gets
// no order after one whose outcome is unknown.
const settleSeconds = 10

// Executor implements boragewick.OrderTaker in front of an engine. It checks
// the fencing number of each order itself, whether or not the engine does, and
// passes orders on one at a time.
type Executor struct {
	// Engine executes the orders.
	Engine boragewick.OrderTaker
	// EngineFences reports whether the engine itself refuses old fencing numbers.
	EngineFences bool
	// Incarnation is the run of the agent.
	Incarnation boragewick.Incarnation

	once        sync.Once
	sem         chan struct{}
	mu          sync.Mutex
	newestKnown bool
	newest      boragewick.Fencing
	newestDone  bool
	settledAt   time.Time
}

// SetNewestFencing records the newest fencing number that the control replicas
// have agreed on. Orders are refused before the first call.
func (x *Executor) SetNewestFencing(f boragewick.Fencing) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.newestKnown = true
	if x.newest.Less(f) {
		x.newest = f
		x.newestDone = false
	}
}

// Order executes the order. Repeating the newest order is safe. The errors
// ErrFenced, ErrTimeout and ErrCanceled are marked not run if the engine has not
// received the order.
func (x *Executor) Order(ctx context.Context, o boragewick.Order) error {
	x.once.Do(func() { x.sem = make(chan struct{}, 1) })
	if _, err := x.admit(&o); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, o.Deadline)
	defer cancel()
	select {
	case x.sem <- struct{}{}:
		defer func() { <-x.sem }()
	case <-ctx.Done():
		return notRun(ctx)
	}
	if err := x.awaitSettled(ctx); err != nil {
		return err
	}
	// A newer order may have been admitted during the wait.
	done, err := x.admit(&o)
	if err != nil || done {
		return err
	}
	err = x.Engine.Order(ctx, o)
	x.recordOutcome(&o, err)
	return err
}

// admit refuses orders that are older than one already seen or for another run
// of the agent, and reports whether the order has been executed already.
func (x *Executor) admit(o *boragewick.Order) (bool, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case o.Incarnation != x.Incarnation:
		return false, boragewick.NotRun(errors.Wrapf(boragewick.ErrFenced, "order for the agent's run %s", o.Incarnation))
	case !x.newestKnown:
		return false, boragewick.NotRun(errors.Wrap(boragewick.ErrFenced, "the current fencing number is not known yet"))
	case o.Less(x.newest):
		return false, boragewick.NotRun(errors.Wrapf(boragewick.ErrFenced, "order %d of %d after %d of %d", o.Number, o.Fence, x.newest.Number, x.newest.Fence))
	}
	if x.newest.Less(o.Fencing) {
		x.newest = o.Fencing
		x.newestDone = false
	}
	return x.newestDone, nil
}

// awaitSettled waits until an earlier order whose outcome is unknown can no longer
// take effect.
func (x *Executor) awaitSettled(ctx context.Context) error {
	x.mu.Lock()
	wait := time.Until(x.settledAt)
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

func (x *Executor) recordOutcome(o *boragewick.Order, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if err == nil {
		x.newestDone = x.newest == o.Fencing
		return
	}
	if !x.EngineFences && !errors.Is(err, boragewick.ErrNotRun) {
		x.settledAt = time.Now().Add(settleSeconds * time.Second)
	}
}

func notRun(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return boragewick.NotRun(errors.Wrap(boragewick.ErrTimeout, "before the order"))
	}
	return boragewick.NotRun(errors.Wrap(boragewick.ErrCanceled, "before the order"))
}
