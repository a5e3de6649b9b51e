package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/eventstream"
	"github.com/boragewick/boragewick/upstream"
)

const (
	// maxBufferedBytes bounds the part of a response that is buffered before
	// anything is written to the caller, so that another endpoint can still replace
	// a response that breaks off.
	maxBufferedBytes = 64 << 10
	// copyBufferBytes is the size of the copy buffer for longer responses.
	copyBufferBytes = 32 << 10
)

// errCallerWrite marks failures to write to the caller.
var errCallerWrite = errors.New("write to caller failed")

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Trailer", "Transfer-Encoding", "Upgrade",
}

// deliver relays a response that is not an event stream.
func (x *exchange) deliver(resp *upstream.Response, flight boragewick.Flight) error {
	if x.committed {
		return errors.Wrapf(boragewick.ErrEndpointFailed, "%s did not resume the stream: status %d", x.endpoint, resp.StatusCode)
	}
	buffered, err := io.ReadAll(io.LimitReader(resp, maxBufferedBytes))
	if err != nil {
		return errors.Mark(errors.Mark(errors.Wrap(err, "read response"), boragewick.ErrEndpointFailed), errConnBroken)
	}
	x.memory.hold(int64(cap(buffered)))
	defer x.memory.hold(-int64(cap(buffered)))
	flight.Started()
	x.recordFirstEvent()
	if x.retryable(resp.StatusCode) {
		return errors.Wrapf(boragewick.ErrEndpointFailed, "%s responded with status %d", x.endpoint, resp.StatusCode)
	}
	x.writeHeader(resp)
	rest := &answerReader{r: resp}
	if err := x.writeTimed(rest, buffered); err != nil {
		return err
	}
	if len(buffered) < maxBufferedBytes {
		return nil
	}
	return x.copyRest(rest, flight)
}

// writeTimed writes a part of the answer to the caller.
func (x *exchange) writeTimed(a *answerReader, p []byte) error {
	defer a.wrote(time.Now())
	_, err := x.w.Write(p)
	return errors.Mark(err, errCallerWrite)
}

// retryable reports whether a response with the status is discarded because
// another endpoint may still serve the request.
func (x *exchange) retryable(status int) bool {
	return status >= http.StatusInternalServerError && x.route.Kind == boragewick.Repeatable &&
		x.sent < x.route.Attempts
}

// copyRest relays the rest of a response that is larger than the buffer.
func (x *exchange) copyRest(rest *answerReader, flight boragewick.Flight) error {
	buf := make([]byte, copyBufferBytes)
	x.memory.hold(copyBufferBytes)
	defer x.memory.hold(-copyBufferBytes)
	for {
		n, err := rest.Read(buf)
		if n > 0 {
			if err := x.writeTimed(rest, buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			if err := x.cutUnread(rest, flight, err); err != nil {
				return err
			}
			return errors.Mark(errors.Mark(errors.Wrap(err, "read response"), boragewick.ErrEndpointFailed), errConnBroken)
		}
	}
}

// writeHeader relays the status and header of the response.
func (x *exchange) writeHeader(resp *upstream.Response) {
	h := x.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	if x.closing() {
		h.Set("Connection", "close")
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // or net/http would detect one
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
	x.committed = true
	x.recordFirstByte()
	x.w.WriteHeader(resp.StatusCode)
}

// relay forwards an event stream, which may come from several endpoints in turn.
type relay struct {
	*exchange
	lastEventID string
	events      int
	// firstAt and lastAt are when the first and the last event were written to the caller.
	firstAt, lastAt time.Time
	watchdog        *watchdog
	// backup is the endpoint that keeps a copy of the run; nil without one.
	backup *boragewick.Candidate
	// resume is where the run continues; nil unless it was moved or recovered.
	resume *resumePoint
	// refused are the endpoints that did not take the run, or had no room for it, when it was
	// moved there.
	refused map[string]bool
	// begun is set once the caller has events of the stream, from this request or an
	// earlier one. build is the software of the endpoints that may go on with it then.
	begun bool
	build boragewick.Build
}

// leg is the part of a stream that one endpoint sends.
type leg struct {
	c *boragewick.Candidate
	// sel are the criteria by which c was selected.
	sel     *boragewick.Selection
	flight  boragewick.Flight
	pending *pendingMove
	// canGoOn reports whether the run can go on without its move, and takes what that needs.
	canGoOn func() bool
}

// deliver relays complete events as they arrive. It returns errMoved when the run
// continues at the endpoint in s.resume.
func (s *relay) deliver(ctx context.Context, resp *upstream.Response, c *boragewick.Candidate, sel *boragewick.Selection, flight boragewick.Flight) error {
	l := &leg{c: c, sel: sel, flight: flight}
	l.pending = s.moveOnDrain(ctx, l)
	defer l.pending.stop()
	answer := &answerReader{r: resp}
	r := eventstream.Reader{R: answer}
	begun := false
	buffered := 0
	defer func() { s.memory.hold(-int64(buffered)) }()
	for {
		batch, err := r.Next()
		s.memory.hold(int64(r.Buffered() - buffered))
		buffered = r.Buffered()
		if err != nil {
			s.noteWeights(l, r.Rest())
		}
		if errors.Is(err, io.EOF) {
			return s.end(ctx, resp, l)
		}
		if err != nil {
			return s.interrupted(ctx, l, err, s.cutUnread(answer, flight, err))
		}
		flight.Started()
		s.watchdog.touch()
		if !begun {
			begun = true
			s.recordFirstEvent()
			s.recordStart(c)
			s.recordOrigin(c)
		}
		s.noteWeights(l, batch.Data)
		started := time.Now()
		if err := s.writeEvents(resp, batch); err != nil {
			return err
		}
		answer.wrote(started)
	}
}

// noteWeights drops the backup of the run and forbids moves if the events tell that its weights
// have changed: its KV cache holds parts made on two versions then.
func (s *relay) noteWeights(l *leg, events []byte) {
	if s.pool.Engine == nil || !s.Dialect.ChangesWeights(events) {
		return
	}
	s.backup = nil
	l.pending.forbid()
	_ = level.Info(s.Logger).Log(append([]any{"msg", "weights changed under run", "id", s.ID, "endpoint", s.endpoint, "events", s.events}, s.weightsFields(l)...)...)
}

// interrupted handles a stream that ended with err before it was complete. unread is set if
// that is due to the caller. It returns errMoved when the run continues elsewhere.
func (s *relay) interrupted(ctx context.Context, l *leg, err, unread error) error {
	if ctx.Err() != nil {
		if unread != nil {
			return unread
		}
		return errors.Mark(err, boragewick.ErrTimeout)
	}
	if moved := s.resumeMoved(ctx, l, errors.Is(err, io.ErrUnexpectedEOF)); errors.IsAny(moved, errMoved, errMixedCopy) {
		return moved
	}
	return s.broken(ctx, l, err, unread)
}

// broken handles a connection that was lost. It returns errMoved if the run continues
// from its backup.
func (s *relay) broken(ctx context.Context, l *leg, err, unread error) error {
	s.resume = s.recover(ctx, l, err)
	switch {
	case s.resume != nil && unread != nil:
		return errMoved
	case s.resume != nil:
		return errors.Mark(errMoved, errConnBroken)
	case unread != nil:
		return unread // the caller reads again, or it would not have been noticed
	}
	err = errors.Wrapf(err, "stream broke after %d events", s.events)
	return errors.Mark(errors.Mark(err, boragewick.ErrEndpointFailed), errConnBroken)
}

// writeEvents writes a batch of complete events to the caller and flushes it.
func (s *relay) writeEvents(resp *upstream.Response, batch eventstream.Batch) error {
	if !s.committed {
		resp.Header.Del("Content-Length") // the rest may come from another endpoint
		s.writeHeader(resp)
	}
	if _, err := s.w.Write(batch.Data); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	s.lastAt = time.Now()
	if s.events == 0 {
		s.firstAt = s.lastAt
	}
	s.events += batch.Events
	if batch.LastID != "" {
		s.lastEventID = batch.LastID
	}
	return nil
}

// end completes the stream. It writes the header if there was no event. An engine
// closes the connection of a run that it moves, which looks like the end of a
// close-delimited stream.
func (s *relay) end(ctx context.Context, resp *upstream.Response, l *leg) error {
	if resp.CloseDelimited() {
		err := s.resumeMoved(ctx, l, true)
		switch {
		case errors.Is(err, errMoveUnanswered) && ctx.Err() != nil:
			return errors.Mark(err, boragewick.ErrTimeout)
		case errors.Is(err, errMoveUnanswered):
			return s.broken(ctx, l, err, nil)
		case err != nil:
			return err
		}
	}
	if !s.committed {
		s.writeHeader(resp)
	}
	return nil
}
