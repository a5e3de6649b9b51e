// Package router chooses the endpoint of each request, sends it there and
// tries another one when that can do no harm.
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
	// Reports is told how dispatches end.
	Reports boragewick.DispatchObserver
	Budget  *retry.Budget
	Sender  boragewick.Sender
	Clock   boragewick.Clock
}

// attempt is one try of a request.
type attempt struct {
	number int
	// began tells that a part of the answer has been emitted.
	began  bool
	failed []*boragewick.Endpoint
}

// Dispatch implements boragewick.Dispatcher. A request is tried again only
// before the first part of its answer, and only when it is repeatable or was
// proved not to have run.
func (rt *Router) Dispatch(ctx context.Context, r *boragewick.Request, emit boragewick.Emit) error {
	rt.Budget.Request(r.Workspace)
	var a attempt
	for {
		e, err := rt.choose(ctx, r, &a)
		if err != nil {
			return err
		}
		a.number++
		r.Watch.Sent(rt.Clock.Now())
		err = rt.Sender.Send(ctx, e, r, func(c boragewick.Chunk) error {
			a.began = true
			return emit(c)
		})
		r.Trace.Failed(err)
		rt.Reports.Report(boragewick.DispatchReport{Endpoint: e.Name, Incarnation: e.Incarnation, Err: err})
		if err == nil || !rt.again(ctx, r, &a, err) {
			return err
		}
		a.failed = append(a.failed, e)
	}
}

// choose returns the best endpoint that has not failed the request yet.
func (rt *Router) choose(ctx context.Context, r *boragewick.Request, a *attempt) (*boragewick.Endpoint, error) {
	list, err := rt.Selector.Select(ctx, boragewick.Selection{
		Workspace:    r.Workspace,
		Pool:         r.Pool,
		Kind:         r.Kind,
		Model:        r.Model,
		Blocks:       r.Blocks,
		PromptTokens: r.PromptTokens,
		Deadline:     r.Deadline,
		Avoid:        a.avoids,
	})
	if err != nil {
		return nil, err
	}
	list = retry.Order(list, a.failed...)
	if len(list) == 0 {
		return nil, boragewick.NotRun(errors.Wrapf(boragewick.ErrNoEndpoint, "pool %q, model %q", r.Pool, r.Model.Name))
	}
	r.Trace.Try(rt.Clock.Now(), list)
	return list[0].Endpoint, nil
}

func (a *attempt) avoids(name string) bool {
	for _, e := range a.failed {
		if e.Name == name {
			return true
		}
	}
	return false
}

// again reports whether the request may be tried once more, and waits for the
// instant at which it should be.
func (rt *Router) again(ctx context.Context, r *boragewick.Request, a *attempt, err error) bool {
	if a.began || a.number >= maxAttempts || !mayRepeat(r, err) || ctx.Err() != nil {
		return false
	}
	at, ok := rt.Budget.Retry(r.Workspace, a.number)
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

// elsewhere are the errors after which another endpoint may do better.
var elsewhere = []error{
	boragewick.ErrOverloaded,
	boragewick.ErrDraining,
	boragewick.ErrNoEndpoint,
	boragewick.ErrFenced,
	boragewick.ErrLinkLost,
	boragewick.ErrEndpointFailed,
	boragewick.ErrWrongAnswer,
}

// mayRepeat reports whether running the request again can help and do no harm.
func mayRepeat(r *boragewick.Request, err error) bool {
	harmless := r.Claim == nil || errors.Is(err, boragewick.ErrNotRun)
	return harmless && errors.IsAny(err, elsewhere...)
}
