// Package router chooses the endpoint of each request and sends it there.
package router

import (
	"context"
	"io"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/view"
)

// Router implements boragewick.Dispatcher by sending requests to agents.
type Router struct {
	View   *view.View
	Agents boragewick.Agents
}

// Dispatch implements boragewick.Dispatcher.
func (rt *Router) Dispatch(ctx context.Context, r *boragewick.Request, emit boragewick.Emit) error {
	route := boragewick.Route{Pool: r.Pool, Model: r.Model.Name, Weights: r.Model.Weights, Adapter: r.Model.Adapter}
	list := rt.View.Endpoints(&route)
	if len(list) == 0 {
		return boragewick.NotRun(errors.Wrapf(boragewick.ErrNoEndpoint, "none in pool %s serves %s", r.Pool, r.Model.Name))
	}
	return rt.send(ctx, list[rand.IntN(len(list))], r, emit)
}

// send has one agent run the request and checks that the answer is whole, in
// order and the request's own.
func (rt *Router) send(ctx context.Context, e *boragewick.Endpoint, r *boragewick.Request, emit boragewick.Emit) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := *r
	sent.Target = e.Incarnation
	s, err := rt.Agents.Peer(e).Open(ctx, boragewick.MethodDispatch, &sent)
	if err != nil {
		return errors.Wrapf(err, "endpoint %s", e.Name)
	}
	for number := uint64(1); ; number++ {
		var c boragewick.Chunk
		if err := s.Recv(ctx, &c); err != nil {
			if errors.Is(err, io.EOF) {
				err = errors.Wrap(boragewick.ErrEndpointFailed, "the answer has no end")
			}
			return errors.Wrapf(err, "endpoint %s", e.Name)
		}
		if c.Request != r.ID || c.Number != number {
			return errors.Wrapf(boragewick.ErrWrongAnswer, "endpoint %s sent chunk %d of %s for chunk %d of %s",
				e.Name, c.Number, c.Request, number, r.ID)
		}
		if err := emit(c); err != nil {
			return err
		}
		if c.End != nil {
			return nil
		}
	}
}
