package boragewick

import (
	"context"
)

// Stream carries CBOR messages in both directions between two processes.
// Messages arrive complete and in order, or the stream ends with an error. One
// goroutine may send while another one receives.
type Stream interface {
	// Send encodes v and waits until the receiver has room for it.
	Send(ctx context.Context, v any) error
	// Recv decodes the next message into v. It returns io.EOF after the
	// sender's explicit end and the sender's error after a failure.
	Recv(ctx context.Context, v any) error
}

// HalfCloser is a Stream whose opener can end its sending direction. The
// handler's Recv then returns io.EOF; the opener can still receive.
type HalfCloser interface {
	Stream
	CloseSend() error
}

// Peer opens streams to another process.
type Peer interface {
	// Open starts the method with the request v. The stream ends when ctx does.
	// An error that isn't marked ErrNotRun may mean that the method runs.
	Open(ctx context.Context, method string, v any) (Stream, error)
}

// Handler serves the streams that peers open. The first Recv returns the
// request.
type Handler interface {
	Serve(ctx context.Context, s Stream) error
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(ctx context.Context, s Stream) error

// Serve calls f(ctx, s).
func (f HandlerFunc) Serve(ctx context.Context, s Stream) error { return f(ctx, s) }

// Call opens the method, sends req and decodes the one reply into resp.
func Call(ctx context.Context, p Peer, method string, req, resp any) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := p.Open(ctx, method, req)
	if err != nil {
		return err
	}
	return s.Recv(ctx, resp)
}

// Unary adapts a function that answers one request with one reply to a Handler.
func Unary[Req, Resp any](f func(ctx context.Context, req Req) (Resp, error)) Handler {
	return HandlerFunc(func(ctx context.Context, s Stream) error {
		var req Req
		if err := s.Recv(ctx, &req); err != nil {
			return err
		}
		resp, err := f(ctx, req)
		if err != nil {
			return err
		}
		return s.Send(ctx, resp)
	})
}
