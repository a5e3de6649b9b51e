package gateway

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/eventstream"
	"github.com/boragewick/boragewick/upstream"
)

const (
	// bufferedBytes is the largest answer that is held back until it is whole,
	// so that a broken one can be replaced.
	bufferedBytes = 64 << 10
	// copyBytes is the size of the buffer for longer answers.
	copyBytes = 32 << 10
)

// errCaller marks failures to write to the caller.
var errCaller = errors.New("caller is gone")

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Trailer", "Transfer-Encoding", "Upgrade",
}

// deliver passes on an answer that is no event stream.
func (x *exchange) deliver(resp *upstream.Response, flight boragewick.Flight) error {
	held, err := io.ReadAll(io.LimitReader(resp, bufferedBytes))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "read answer"), boragewick.ErrEndpointFailed)
	}
	flight.Started()
	if x.retryable(resp.StatusCode) {
		return errors.Wrapf(boragewick.ErrEndpointFailed, "%s answered %d", x.endpoint, resp.StatusCode)
	}
	x.writeHead(resp)
	if _, err := x.w.Write(held); err != nil {
		return errors.Mark(err, errCaller)
	}
	if len(held) < bufferedBytes {
		return nil
	}
	return x.copyRest(resp)
}

// retryable reports whether a failure of the endpoint may be mended by another
// one.
func (x *exchange) retryable(status int) bool {
	return status >= http.StatusInternalServerError && x.route.Kind == boragewick.Repeatable &&
		x.sent < x.route.Attempts
}

// copyRest passes on what doesn't fit into the buffer.
func (x *exchange) copyRest(resp *upstream.Response) error {
	buf := make([]byte, copyBytes)
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			if _, err := x.w.Write(buf[:n]); err != nil {
				return errors.Mark(err, errCaller)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Mark(errors.Wrap(err, "read answer"), boragewick.ErrEndpointFailed)
		}
	}
}

// writeHead passes on the head of the answer.
func (x *exchange) writeHead(resp *upstream.Response) {
	h := x.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	if x.closing() {
		h.Set("Connection", "close")
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // or net/http would guess one
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
	x.committed = true
	x.waited()
	x.w.WriteHeader(resp.StatusCode)
}

// relay passes on an event stream that may come from several endpoints.
type relay struct {
	*exchange
	lastEvent string
	events    int
	guard     *guard
	// backup is the endpoint that has a copy of the run; nil without one.
	backup *boragewick.Candidate
	// handover is where the run goes on next; nil without a move.
	handover *handover
}

// deliver passes on whole events as they arrive. It returns errMoved when the
// run has been moved to another endpoint.
func (s *relay) deliver(ctx context.Context, resp *upstream.Response, c *boragewick.Candidate, sel *boragewick.Selection, flight boragewick.Flight) error {
	moving := s.moveWhenLeaving(ctx, c, sel, flight)
	defer moving.stop()
	r := eventstream.Reader{R: resp}
	for {
		batch, err := r.Next()
		if errors.Is(err, io.EOF) {
			return s.end(resp)
		}
		if err != nil && ctx.Err() != nil {
			return errors.Mark(err, boragewick.ErrTimeout)
		}
		if err != nil {
			if s.handover = moving.result(); s.handover == nil {
				s.handover = s.recover(err)
			}
			if s.handover != nil {
				return errMoved
			}
			return errors.Mark(errors.Wrapf(err, "stream broke after %d events", s.events), boragewick.ErrEndpointFailed)
		}
		flight.Started()
		s.guard.touch()
		if err := s.pass(resp, batch); err != nil {
			return err
		}
	}
}

// pass writes whole events to the caller.
func (s *relay) pass(resp *upstream.Response, batch eventstream.Batch) error {
	if !s.committed {
		s.writeHead(resp)
	}
	if _, err := s.w.Write(batch.Data); err != nil {
		return errors.Mark(err, errCaller)
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return errors.Mark(err, errCaller)
	}
	s.events += batch.Events
	if batch.LastID != "" {
		s.lastEvent = batch.LastID
	}
	return nil
}

// end closes a stream whose last event has come.
func (s *relay) end(resp *upstream.Response) error {
	if !s.committed {
		s.writeHead(resp)
	}
	return nil
}
