// Package router chooses the endpoint of each request, sends it there and
// retries it at another endpoint when that is safe.
package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/retry"
)

// maxAttempts bounds the dispatches of one request.
const maxAttempts = 4

// Router implements boragewick.Dispatcher by sending requests to agents.
type Router struct {
	Selector boragewick.Selector
	// Observer receives the outcome of each dispatch.
	Observer    boragewick.DispatchObserver
	RetryBudget *retry.Budget
	Sender      boragewick.Sender
	Clock       boragewick.Clock
}

// dispatchState is the state of one request across its attempts.
type dispatchState struct {
	attempts int
	// emitted reports whether a part of the answer has been passed to emit.
	emitted bool
	failed  []*boragewick.Endpoint
}

// Dispatch implements boragewick.Dispatcher. A request is retried only before
// the first part of its answer, and only when it is repeatable or was proved not
// to have run.
func (rt *Router) Dispatch(ctx context.Context, r *boragewick.Request, emit boragewick.Emit) error {
	rt.RetryBudget.AddRequest(r.Workspace)
	var s dispatchState
	for {
		e, err := rt.choose(ctx, r, &s)
		if err != nil {
			return err
		}
		s.attempts++
		r.Watch.Sent(rt.Clock.Now())
		err = rt.Sender.Send(ctx, e, r, func(c boragewick.Chunk) error {
			s.emitted = true
			return emit(c)
		})
		r.Trace.Failed(err)
		rt.Observer.Report(boragewick.DispatchReport{Endpoint: e.Name, Incarnation: e.Incarnation, Err: err})
		if err == nil || !rt.awaitRetry(ctx, r, &s, err) {
			return err
		}
		s.failed = append(s.failed, e)
	}
}

// choose returns the best endpoint that has not failed the request yet.
func (rt *Router) choose(ctx context.Context, r *boragewick.Request, s *dispatchState) (*boragewick.Endpoint, error) {
	list, err := rt.Selector.Select(ctx, boragewick.Selection{
		Workspace:    r.Workspace,
		Pool:         r.Pool,
		Kind:         r.Kind,
		Model:        r.Model,
		Blocks:       r.Blocks,
		PromptTokens: r.PromptTokens,
		Deadline:     r.Deadline,
		Avoid:        s.hasFailed,
	})
	if err != nil {
		return nil, err
	}
	list = retry.PreferOtherDomains(list, s.failed...)
	if len(list) == 0 {
		return nil, boragewick.NotRun(errors.Wrapf(boragewick.ErrNoEndpoint, "pool %q, model %q", r.Pool, r.Model.Name))
	}
	r.Trace.Try(rt.Clock.Now(), list)
	return list[0].Endpoint, nil
}

func (s *dispatchState) hasFailed(name string) bool {
	for _, e := range s.failed {
		if e.Name == name {
			return true
		}
	}
	return false
}

// awaitRetry reports whether the request may be retried. If so, it returns when
// the retry is due.
func (rt *Router) awaitRetry(ctx context.Context, r *boragewick.Request, s *dispatchState, err error) bool {
	if s.emitted || s.attempts >= maxAttempts || !isRetryable(r, err) || ctx.Err() != nil {
		return false
	}
	at, ok := rt.RetryBudget.TakeRetry(r.Workspace, s.attempts)
	if !ok || at.After(r.Deadline) {
		return false
	}
	timer := time.NewTimer(at.Sub(rt.Clock.Now()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// retryableErrors are the errors after which another endpoint may succeed.
var retryableErrors = []error{
	boragewick.ErrOverloaded,
	boragewick.ErrDraining,
	boragewick.ErrNoEndpoint,
	boragewick.ErrFenced,
	boragewick.ErrLinkLost,
	boragewick.ErrEndpointFailed,
	boragewick.ErrWrongAnswer,
}

// isRetryable reports whether a retry may succeed and is safe.
func isRetryable(r *boragewick.Request, err error) bool {
	safe := r.Claim == nil || errors.Is(err, boragewick.ErrNotRun)
	return safe && errors.IsAny(err, retryableErrors...)
}
