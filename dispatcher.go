package boragewick

import "context"

// Emit takes the chunks of an answer in order. Its error ends the answer.
type Emit func(c Chunk) error

// Dispatcher has a request run by an endpoint and emits the answer. It returns
// nil only after the chunk with the End. An error marked NotRun proves that
// the request did not run.
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
	// Peer returns the link to the agent, which is dialled when it is used.
	Peer(e *Endpoint) Peer
}

// Sender has the agent of one endpoint run a request and emits the answer. An
// error marked NotRun proves that the request did not run.
type Sender interface {
	Send(ctx context.Context, e *Endpoint, r *Request, emit Emit) error
}

// SenderFunc adapts a function to a Sender.
type SenderFunc func(ctx context.Context, e *Endpoint, r *Request, emit Emit) error

// Send calls f(ctx, e, r, emit).
func (f SenderFunc) Send(ctx context.Context, e *Endpoint, r *Request, emit Emit) error {
	return f(ctx, e, r, emit)
}
