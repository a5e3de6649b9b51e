package allowance

import (
	"context"
	"time"

	"github.com/boragewick/boragewick"
)

// accountRetention is how long the account of an endpoint's run is kept after its last
// request. It is longer than the owner keeps the router's requests for it, as these are
// numbered anew with a new account.
const accountRetention = 10 * time.Minute

var _ boragewick.EndpointLimiter = (*Limiter)(nil)

// ReserveRequest implements boragewick.EndpointLimiter. A Limiter is used either for
// workspaces or for endpoints.
func (a *Limiter) ReserveRequest(ctx context.Context, run boragewick.ID, limit boragewick.EndpointLimit, deadline time.Time) (boragewick.Reservation, error) {
	if _, ok := a.accounts.Load(run); !ok {
		a.evictIdle()
	}
	return a.reserve(ctx, a.account(run), boragewick.LimitedRequest, deadline, &limit)
}

// evictIdle drops the accounts of runs that have had no request for accountRetention.
func (a *Limiter) evictIdle() {
	before := a.clock.Now().Add(-accountRetention)
	a.accounts.Range(func(run, value any) bool {
		acc := value.(*account)
		acc.mu.Lock()
		idle := !acc.taskRunning && len(acc.waiters) == 0 && acc.lastRequestAt.Before(before) && acc.limit != nil
		acc.mu.Unlock()
		if idle {
			a.accounts.Delete(run)
		}
		return true
	})
}
