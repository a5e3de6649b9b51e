// Package plain runs requests on a plain HTTP service.
package plain

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/answer"
	"github.com/boragewick/boragewick/endpointhttp"
	"github.com/boragewick/boragewick/eventstream"
)

// chunkBytes is the maximum size of the body data in one chunk.
const chunkBytes = 32 << 10

// buffers pools the buffers into which bodies are read.
var buffers = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// Client implements boragewick.Engine for the plain service at its Endpoint.
type Client struct {
	endpointhttp.Caller
}

// Run forwards the request and emits the answer as it arrives. It never sends
// the request twice. The Deadline of a request with a claim applies only until
// the request is sent, because its answer is worth keeping after that.
func (c *Client) Run(ctx context.Context, r *boragewick.Request, emit func(boragewick.Chunk) error) error {
	call := &endpointhttp.Call{
		Method:            r.Method,
		Path:              r.Path,
		Header:            endpointhttp.RequestHeader(r),
		Body:              r.Body,
		FirstByteDeadline: r.Deadline,
	}
	if !r.Deadline.IsZero() && !time.Now().Before(r.Deadline) {
		return boragewick.NotRun(errors.Wrap(boragewick.ErrTimeout, "before the call"))
	}
	if r.Claim != nil {
		call.FirstByteDeadline = time.Time{}
	}
	w, err := c.Do(ctx, call)
	if err != nil {
		return err
	}
	defer w.Body.Close()
	if id := w.Header.Get(endpointhttp.HeaderRequestID); id != "" && id != string(r.ID) {
		return errors.Wrapf(boragewick.ErrWrongAnswer, "answer to %q", id)
	}
	a := &answer.Writer{Request: r.ID, Emit: emit}
	if err := a.Head(w); err != nil {
		return err
	}
	if strings.HasPrefix(w.Header.Get("Content-Type"), "text/event-stream") {
		return emitEvents(w.Body, a)
	}
	return emitBody(w.Body, a)
}

// emitEvents emits the complete events of a stream as they are read. A stream that
// ends within an event is truncated.
func emitEvents(body io.Reader, a *answer.Writer) error {
	r := eventstream.Reader{R: body}
	for {
		batch, err := r.Next()
		switch {
		case errors.Is(err, io.EOF):
			return a.End(nil, boragewick.End{})
		case errors.IsAny(err, boragewick.ErrWrongAnswer, boragewick.ErrTooLarge):
			return errors.Wrapf(boragewick.ErrEndpointFailed, "%v", err)
		case err != nil:
			return err
		}
		if err := a.Data(bytes.Clone(batch.Data)); err != nil {
			return err
		}
	}
}

// emitBody emits the body in chunks as they are read.
func emitBody(body io.Reader, a *answer.Writer) error {
	buf := buffers.Get().(*[chunkBytes]byte)
	defer buffers.Put(buf)
	for {
		n, err := body.Read(buf[:])
		if errors.Is(err, io.EOF) {
			return a.End(bytes.Clone(buf[:n]), boragewick.End{})
		}
		if err != nil {
			return err
		}
		if n == 0 {
			continue
		}
		if err := a.Data(bytes.Clone(buf[:n])); err != nil {
			return err
		}
	}
}
