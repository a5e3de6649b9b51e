// Package plain runs requests at a plain HTTP service.
package plain

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/answer"
	"github.com/boragewick/boragewick/endpointhttp"
)

// partBytes is the largest part of a body in one chunk.
const partBytes = 32 << 10

// parts holds buffers for the bodies that are read.
var parts = sync.Pool{New: func() any { return new([partBytes]byte) }}

// Client implements boragewick.Engine for the plain service at its Endpoint.
type Client struct {
	endpointhttp.Caller
}

// Run passes the request through and emits the answer as it arrives. Nothing
// is sent twice. The Deadline of a request with a claim holds only until it is
// sent, because its answer is worth keeping after that.
func (c *Client) Run(ctx context.Context, r *boragewick.Request, emit func(boragewick.Chunk) error) error {
	call := &endpointhttp.Call{
		Method:  r.Method,
		Path:    r.Path,
		Header:  endpointhttp.RequestHeader(r),
		Body:    r.Body,
		FirstBy: r.Deadline,
	}
	if !r.Deadline.IsZero() && !time.Now().Before(r.Deadline) {
		return boragewick.NotRun(errors.Wrap(boragewick.ErrTimeout, "before the call"))
	}
	if r.Claim != nil {
		call.FirstBy = time.Time{}
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
	return pass(w.Body, a)
}

// pass emits the body in parts.
func pass(body io.Reader, a *answer.Writer) error {
	part := parts.Get().(*[partBytes]byte)
	defer parts.Put(part)
	for {
		n, err := body.Read(part[:])
		if errors.Is(err, io.EOF) {
			return a.End(bytes.Clone(part[:n]), boragewick.End{})
		}
		if err != nil {
			return err
		}
		if n == 0 {
			continue
		}
		if err := a.Data(bytes.Clone(part[:n])); err != nil {
			return err
		}
	}
}
