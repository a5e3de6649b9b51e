package allowance_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/allowance"
	"github.com/boragewick/boragewick/ledger"
)

// ownerFunc adapts a function to boragewick.RateOwner.
type ownerFunc func(ctx context.Context, r boragewick.GrantRequest) (boragewick.Grant, error)

func (f ownerFunc) Grant(ctx context.Context, r boragewick.GrantRequest) (boragewick.Grant, error) {
	return f(ctx, r)
}

// fullLedger returns the owner of one workspace's rate, with the burst refilled.
func fullLedger(rate, burst uint64) *ledger.Ledger {
	l := ledger.New(nil)
	l.SetRates([]boragewick.Rate{{Workspace: "ws_a", TokensPerSecond: rate, Burst: burst}})
	l.Start(false)
	time.Sleep(time.Hour)
	return l
}

// withAllowance calls f with a running Limiter in a synctest bubble.
func withAllowance(t *testing.T, owner func() boragewick.RateOwner, f func(t *testing.T, a *allowance.Limiter)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		a := allowance.New(owner(), "r1", "inc_1", nil)
		var wg sync.WaitGroup
		wg.Go(func() {
			if err := a.Run(ctx); err != nil {
				t.Error(err)
			}
		})
		f(t, a)
		cancel()
		wg.Wait()
	})
}

func reserve(a *allowance.Limiter, tokens uint64, maxWait time.Duration) (boragewick.Reservation, error) {
	return a.Reserve(context.Background(), "ws_a", tokens, time.Now().Add(maxWait))
}

func TestReserve(t *testing.T) {
	tests := map[string]struct {
		first, second uint64
		maxWait       time.Duration
		waits         time.Duration // minimum for the second reservation
		err           error
		retryAfter    time.Duration
	}{
		"at once":                 {400, 600, time.Second, 0, nil, 0},
		"waits":                   {1000, 100, 2 * time.Second, time.Second, nil, 0},
		"refused at once":         {1000, 500, 2 * time.Second, 0, boragewick.ErrRateExceeded, 5 * time.Second},
		"larger than the burst":   {0, 1001, 2 * time.Second, 0, boragewick.ErrRateExceeded, 0},
		"deadline already passed": {0, 1, 0, 0, boragewick.ErrRateExceeded, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			owner := func() boragewick.RateOwner { return fullLedger(100, 1000) }
			withAllowance(t, owner, func(t *testing.T, a *allowance.Limiter) {
				if _, err := reserve(a, tt.first, time.Second); err != nil {
					t.Fatal(err)
				}
				start := time.Now()
				_, err := reserve(a, tt.second, tt.maxWait)
				waited := time.Since(start)
				if !errors.Is(err, tt.err) {
					t.Fatalf("got %v, want %v", err, tt.err)
				}
				if waited < tt.waits || waited > tt.waits+100*time.Millisecond {
					t.Errorf("waited %s, want %s", waited, tt.waits)
				}
				if err == nil {
					return
				}
				if boragewick.OutcomeOf(err) != boragewick.OutcomeNotRun {
					t.Errorf("%v is not marked not run", err)
				}
				at := boragewick.FaultOf(err).RetryAt
				if tt.retryAfter == 0 {
					return
				}
				time.Sleep(time.Until(at))
				if got := time.Since(start); got < tt.retryAfter || got > tt.retryAfter+100*time.Millisecond {
					t.Errorf("retry after %s, want %s", got, tt.retryAfter)
				}
				if _, err := reserve(a, tt.second, 100*time.Millisecond); err != nil {
					t.Errorf("retry got %v", err)
				}
			})
		})
	}
}

func TestSettleReturnsUnusedTokens(t *testing.T) {
	owner := func() boragewick.RateOwner { return fullLedger(1, 1000) }
	withAllowance(t, owner, func(t *testing.T, a *allowance.Limiter) {
		first, err := reserve(a, 1000, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		first.Settle(100)
		if _, err := reserve(a, 900, time.Second); err != nil {
			t.Errorf("reserving the returned tokens: %v", err)
		}
		if _, err := reserve(a, 100, time.Second); !errors.Is(err, boragewick.ErrRateExceeded) {
			t.Errorf("reserving the used tokens: got %v, want rate exceeded", err)
		}
	})
}

func TestIdleTokensGoToOtherRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := fullLedger(1, 1000)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		one, two := allowance.New(l, "r1", "inc_1", nil), allowance.New(l, "r2", "inc_2", nil)
		for _, a := range []*allowance.Limiter{one, two} {
			wg.Go(func() { _ = a.Run(ctx) })
		}
		for range 50 {
			if _, err := reserve(one, 10, time.Second); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
		}
		if _, err := reserve(two, 500, time.Second); err != nil {
			t.Errorf("reserving tokens that the first router did not use: %v", err)
		}
		cancel()
		wg.Wait()
	})
}

func TestCutOffRouterStops(t *testing.T) {
	var cut atomic.Bool
	owner := func() boragewick.RateOwner {
		l := fullLedger(1000, 100_000)
		return ownerFunc(func(ctx context.Context, r boragewick.GrantRequest) (boragewick.Grant, error) {
			if cut.Load() {
				<-ctx.Done()
				return boragewick.Grant{}, errors.Wrap(boragewick.ErrLinkLost, "owner")
			}
			return l.Grant(ctx, r)
		})
	}
	withAllowance(t, owner, func(t *testing.T, a *allowance.Limiter) {
		for range 50 {
			if _, err := reserve(a, 10, time.Second); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
		}
		cut.Store(true)
		time.Sleep(4 * time.Second)
		start := time.Now()
		_, err := reserve(a, 10, 2*time.Second)
		if !errors.Is(err, boragewick.ErrStaleConfig) || !errors.Is(err, boragewick.ErrNotRun) {
			t.Errorf("without the owner: got %v", err)
		}
		if waited := time.Since(start); waited > 2*time.Second {
			t.Errorf("waited %s, past the deadline", waited)
		}
		cut.Store(false)
		time.Sleep(time.Second)
		if _, err := reserve(a, 10, time.Second); err != nil {
			t.Errorf("after the owner is reachable again: %v", err)
		}
	})
}

func TestWorkspaceWithoutRate(t *testing.T) {
	owner := func() boragewick.RateOwner { return fullLedger(1, 1) }
	withAllowance(t, owner, func(t *testing.T, a *allowance.Limiter) {
		_, err := a.Reserve(context.Background(), "ws_other", 1, time.Now().Add(time.Second))
		if !errors.Is(err, boragewick.ErrRateExceeded) || !errors.Is(err, boragewick.ErrNotRun) {
			t.Errorf("got %v", err)
		}
	})
}

func TestStopRefusesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		a := allowance.New(fullLedger(1, 10), "r1", "inc_1", nil)
		var wg sync.WaitGroup
		wg.Go(func() { _ = a.Run(ctx) })
		wg.Go(func() {
			_, _ = reserve(a, 10, time.Second)
			_, err := reserve(a, 10, time.Minute)
			if !errors.Is(err, boragewick.ErrDraining) || !errors.Is(err, boragewick.ErrNotRun) {
				t.Errorf("got %v", err)
			}
		})
		time.Sleep(time.Second)
		cancel()
		wg.Wait()
	})
}
