// Package allowance limits a router's requests to the workspaces' rates. The
// owner of the rates grants each router a share of them.
package allowance

import (
	"context"
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
	grantTimeoutMillis = 300
	grantTimeout       = grantTimeoutMillis * time.Millisecond
)

// Limiter implements boragewick.Limiter on a RateOwner. Held tokens are taken
// without a message; otherwise a request waits in order while the one task of its
// workspace requests tokens from the owner. Reserve requires Run to be running; it
// is safe for concurrent use.
type Limiter struct {
	// View tells whether the owner is alive and what the rates are while it does not
	// answer. Without it there are no fallback shares. It is set before Run, as are Logger
	// and Metrics.
	View    boragewick.RateView
	Logger  log.Logger
	Metrics metrics.Registry

	owner       boragewick.RateOwner
	router      string
	incarnation boragewick.Incarnation
	clock       boragewick.Clock

	accounts sync.Map // of *account by boragewick.ID
	done     chan struct{}
	// onFallback is the number of workspaces whose fallback share is in use.
	onFallback atomic.Int64

	mu          sync.Mutex
	toStart     []*account    // accounts whose task is to be started
	startSignal chan struct{} // tells Run to check toStart
}

// New returns the Limiter of one incarnation of a router. A nil clock means
// SystemClock.
func New(owner boragewick.RateOwner, router string, incarnation boragewick.Incarnation, clock boragewick.Clock) *Limiter {
	if clock == nil {
		clock = boragewick.SystemClock
	}
	return &Limiter{
		owner:       owner,
		router:      router,
		incarnation: incarnation,
		clock:       clock,
		done:        make(chan struct{}),
		startSignal: make(chan struct{}, 1),
	}
}

// Run runs the tasks of the workspaces until ctx is done. It is called once;
// requests that still wait when it ends get ErrDraining.
func (a *Limiter) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer close(a.done)
	for {
		for _, acc := range a.takeToStart() {
			tasks.Go(func() { a.serve(ctx, acc) })
		}
		select {
		case <-a.startSignal:
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *Limiter) takeToStart() []*account {
	a.mu.Lock()
	defer a.mu.Unlock()
	accounts := a.toStart
	a.toStart = nil
	return accounts
}

// Reserve takes tokens from the workspace's allowance as boragewick.Limiter
// describes. Errors are marked not run; ErrStaleConfig means that the owner could
// not be reached.
func (a *Limiter) Reserve(ctx context.Context, workspace boragewick.ID, tokens uint64, deadline time.Time) (boragewick.Reservation, error) {
	return a.reserve(ctx, a.account(workspace), tokens, deadline, nil)
}

// reserve takes tokens from the account. limit is that of an endpoint; nil for a
// workspace.
func (a *Limiter) reserve(ctx context.Context, acc *account, tokens uint64, deadline time.Time, limit *boragewick.EndpointLimit) (boragewick.Reservation, error) {
	now := a.clock.Now()
	acc.mu.Lock()
	if limit != nil {
		acc.limit = limit
	}
	if generation, ok := acc.tryTake(now, tokens); ok {
		prefetch := acc.shouldPrefetch(now)
		acc.mu.Unlock()
		if prefetch {
			acc.wake()
		}
		return &reservation{allowance: a, account: acc, tokens: tokens, generation: generation}, nil
	}
	if report, ok := acc.tryFallback(now, tokens); ok {
		start := !acc.taskRunning
		acc.taskRunning = true
		acc.mu.Unlock()
		if start {
			a.startTask(acc)
		}
		return &reservation{allowance: a, account: acc, tokens: tokens, generation: report, fallback: true}, nil
	}
	wait, err := acc.enqueue(now, tokens, deadline)
	start := err == nil && !acc.taskRunning
	acc.taskRunning = acc.taskRunning || start
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
	return &reservation{allowance: a, account: acc, tokens: tokens, generation: wait.generation, fallback: wait.fallback}, nil
}

func (a *Limiter) account(workspace boragewick.ID) *account {
	if acc, ok := a.accounts.Load(workspace); ok {
		return acc.(*account)
	}
	created := newAccount(a.router, a.incarnation, workspace)
	created.fallback = fallback{view: a.View, observe: a.observeFallback}
	acc, _ := a.accounts.LoadOrStore(workspace, created)
	return acc.(*account)
}

// observeFallback records that the use of an account's fallback share has started or ended.
func (a *Limiter) observeFallback(acc *account, lostSince time.Time) {
	f := &acc.fallback
	if a.Logger != nil {
		_ = level.Info(a.Logger).Log("msg", "fallback share of a rate", "workspace", acc.workspace, "in_use", f.active,
			"unanswered_ms", a.clock.Now().Sub(lostSince).Milliseconds(), "used", f.outageUsed, "left", f.tokens)
	}
	if a.Metrics == nil {
		return
	}
	gauge := metrics.GetOrRegisterGauge("rates.fallback_workspaces", a.Metrics)
	if f.active {
		gauge.Update(a.onFallback.Add(1))
		return
	}
	gauge.Update(a.onFallback.Add(-1))
	metrics.GetOrRegisterCounter("rates.fallback_tokens", a.Metrics).Inc(int64(f.outageUsed))
}

// startTask makes Run start the account's task.
func (a *Limiter) startTask(acc *account) {
	a.mu.Lock()
	a.toStart = append(a.toStart, acc)
	a.mu.Unlock()
	select {
	case a.startSignal <- struct{}{}:
	default:
	}
}

// await waits for the waiter's result; nil means that it has its tokens.
func (a *Limiter) await(ctx context.Context, acc *account, w *waiter, maxWait time.Duration) error {
	timer := time.NewTimer(maxWait)
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
	acc.abandon(a.clock.Now(), w, err)
	acc.mu.Unlock()
	return <-w.result
}

// serve exchanges requests and grants with the owner for one workspace until no
// further request is due.
func (a *Limiter) serve(ctx context.Context, acc *account) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := a.clock.Now()
		acc.mu.Lock()
		request, send := acc.nextRequest(now)
		wakeAt := acc.wakeAt(now)
		acc.taskRunning = send || !wakeAt.IsZero()
		running := acc.taskRunning
		acc.mu.Unlock()
		if !running {
			return
		}
		if send {
			a.requestGrant(ctx, acc, request)
			continue
		}
		timer.Reset(wakeAt.Sub(now))
		select {
		case <-acc.wakeup:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Limiter) requestGrant(ctx context.Context, acc *account, request boragewick.GrantRequest) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	grant, err := a.owner.Grant(ctx, request)
	acc.mu.Lock()
	defer acc.mu.Unlock()
	now := a.clock.Now()
	if err != nil {
		acc.handleError(now, err)
		return
	}
	acc.applyGrant(now, grant)
}

// reservation implements boragewick.Reservation.
type reservation struct {
	allowance  *Limiter
	account    *account
	tokens     uint64
	generation uint64
	fallback   bool // of the fallback share; generation is its report
}

// Settle returns the tokens that were not used.
func (r *reservation) Settle(used uint64) {
	used = min(used, r.tokens)
	acc := r.account
	acc.mu.Lock()
	if r.fallback {
		acc.returnFallback(r.generation, r.tokens-used)
	} else {
		acc.settle(r.generation, used, r.tokens-used)
	}
	start := acc.hasReturned && !acc.taskRunning
	acc.taskRunning = acc.taskRunning || start
	acc.mu.Unlock()
	r.tokens = 0
	if start {
		r.allowance.startTask(acc)
		return
	}
	acc.wake()
}
