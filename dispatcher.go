package boragewick

import "context"

// Emit receives the chunks of an answer in order. An error from it ends the
// answer.
type Emit func(c Chunk) error

// Dispatcher runs a request at an endpoint and emits the answer. It returns nil
// only after the chunk with the End. An error marked NotRun proves that the
// request did not run.
type Dispatcher interface {
	Dispatch(ctx context.Context, r *Request, emit Emit) error
}

// DispatcherFunc adapts a function to a Dispatcher.
type DispatcherFunc func(ctx context.Context, r *Request, emit Emit) error

// Dispatch calls f(ctx, r, emit).
func (f DispatcherFunc) Dispatch(ctx context.Context, r *Request, emit Emit) error {
	return f(ctx, r, emit)
}

// Agents finds the agent of an endpoint.
type Agents interface {
	// Peer returns the link to the agent, which is dialled on use.
	Peer(e *Endpoint) Peer
}

// Sender runs a request through the agent of one endpoint and emits the answer.
// An error marked NotRun proves that the request did not run.
type Sender interface {
	Send(ctx context.Context, e *Endpoint, r *Request, emit Emit) error
}

// SenderFunc adapts a function to a Sender.
type SenderFunc func(ctx context.Context, e *Endpoint, r *Request, emit Emit) error

// Send calls f(ctx, e, r, emit).
func (f SenderFunc) Send(ctx context.Context, e *Endpoint, r *Request, emit Emit) error {
	return f(ctx, e, r, emit)
}
