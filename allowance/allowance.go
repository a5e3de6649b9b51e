// Package allowance keeps a router's requests within the workspaces' rates
// with shares that the rates' owner grants.
package allowance

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	askTimeoutMillis = 300
	askTimeout       = askTimeoutMillis * time.Millisecond
)

// Allowance is a Limiter over a RateOwner. Tokens in hand are taken without a
// message; otherwise a request waits in order while one task for its workspace
// asks the owner. Reserve answers only while Run does; it is safe for use by
// several goroutines.
type Allowance struct {
	owner       boragewick.RateOwner
	router      string
	incarnation boragewick.Incarnation
	clock       boragewick.Clock

	accounts sync.Map // of *account by boragewick.ID
	done     chan struct{}

	mu    sync.Mutex
	start []*account    // accounts that need a task
	kick  chan struct{} // tells Run to look at start
}

// New returns the Allowance of one run of a router. A nil clock means the
// SystemClock.
func New(owner boragewick.RateOwner, router string, incarnation boragewick.Incarnation, clock boragewick.Clock) *Allowance {
	if clock == nil {
		clock = boragewick.SystemClock
	}
	return &Allowance{
		owner:       owner,
		router:      router,
		incarnation: incarnation,
		clock:       clock,
		done:        make(chan struct{}),
		kick:        make(chan struct{}, 1),
	}
}

// Run serves the workspaces until ctx is done. It is called once; requests
// that wait at its end get ErrDraining.
func (a *Allowance) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer close(a.done)
	for {
		for _, acc := range a.takeStart() {
			tasks.Go(func() { a.serve(ctx, acc) })
		}
		select {
		case <-a.kick:
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *Allowance) takeStart() []*account {
	a.mu.Lock()
	defer a.mu.Unlock()
	accounts := a.start
	a.start = nil
	return accounts
}

// Reserve takes tokens from the workspace's allowance as boragewick.Limiter
// describes. Errors are marked not run; ErrStaleConfig tells that the owner
// could not be reached.
func (a *Allowance) Reserve(ctx context.Context, workspace boragewick.ID, tokens uint64, deadline time.Time) (boragewick.Reservation, error) {
	acc := a.account(workspace)
	now := a.clock.Now()
	acc.mu.Lock()
	if generation, ok := acc.takeAtOnce(now, tokens); ok {
		low := acc.low(now)
		acc.mu.Unlock()
		if low {
			acc.wake()
		}
		return &reservation{a, acc, tokens, generation}, nil
	}
	wait, err := acc.join(now, tokens, deadline)
	start := err == nil && !acc.started
	acc.started = acc.started || start
	acc.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if start {
		a.startTask(acc)
	} else {
		acc.wake()
	}
	if err := a.await(ctx, acc, wait, deadline.Sub(now)); err != nil {
		return nil, err
	}
	return &reservation{a, acc, tokens, wait.generation}, nil
}

func (a *Allowance) account(workspace boragewick.ID) *account {
	if acc, ok := a.accounts.Load(workspace); ok {
		return acc.(*account)
	}
	acc, _ := a.accounts.LoadOrStore(workspace, newAccount(a.router, a.incarnation, workspace))
	return acc.(*account)
}

// startTask has Run start the account's task.
func (a *Allowance) startTask(acc *account) {
	a.mu.Lock()
	a.start = append(a.start, acc)
	a.mu.Unlock()
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

// await returns nil once the waiter has its tokens.
func (a *Allowance) await(ctx context.Context, acc *account, w *waiter, patience time.Duration) error {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	var err error
	select {
	case err = <-w.result:
		return err
	case <-a.done:
		err = boragewick.NotRun(errors.Wrap(boragewick.ErrDraining, "rate limiter stopped"))
	case <-timer.C:
	case <-ctx.Done():
		err = boragewick.NotRun(errors.Mark(ctx.Err(), boragewick.ErrCanceled))
	}
	acc.mu.Lock()
	acc.leave(a.clock.Now(), w, err)
	acc.mu.Unlock()
	return <-w.result
}

// serve asks the owner for one workspace's tokens until nothing is left to do.
func (a *Allowance) serve(ctx context.Context, acc *account) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := a.clock.Now()
		acc.mu.Lock()
		request, ask := acc.next(now)
		wakeAt := acc.wakeAt(now)
		acc.started = ask || !wakeAt.IsZero()
		started := acc.started
		acc.mu.Unlock()
		if !started {
			return
		}
		if ask {
			a.ask(ctx, acc, request)
			continue
		}
		timer.Reset(wakeAt.Sub(now))
		select {
		case <-acc.poke:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Allowance) ask(ctx context.Context, acc *account, request boragewick.GrantRequest) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	grant, err := a.owner.Grant(ctx, request)
	acc.mu.Lock()
	defer acc.mu.Unlock()
	now := a.clock.Now()
	if err != nil {
		acc.fail(now, err)
		return
	}
	acc.apply(now, grant)
}

// reservation is a boragewick.Reservation.
type reservation struct {
	allowance  *Allowance
	account    *account
	tokens     uint64
	generation uint64
}

// Settle gives back what was not used.
func (r *reservation) Settle(used uint64) {
	used = min(used, r.tokens)
	acc := r.account
	acc.mu.Lock()
	acc.settle(r.generation, used, r.tokens-used)
	start := acc.returned && !acc.started
	acc.started = acc.started || start
	acc.mu.Unlock()
	r.tokens = 0
	if start {
		r.allowance.startTask(acc)
		return
	}
	acc.wake()
}
