// Package engine runs requests at a model engine that speaks the OpenAI
// completion protocol over HTTP, with resumption by request ID.
package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/answer"
	"github.com/boragewick/boragewick/endpointhttp"
)

// The headers that the engine reads besides the request's ID.
const (
	headerBlocks   = "X-Prefix-Blocks"
	headerPriority = "X-Priority"
	headerWeights  = "X-Model-Weights"
	headerAdapter  = "X-Model-Adapter"
)

const (
	// resumeLimit is how often a stream is resumed without any progress.
	resumeLimit   = 3
	cancelTimeout = time.Second
	stateTimeout  = 3 * time.Second
	maxWholeBytes = 64 << 20
	maxErrorBytes = 1 << 20
)

// Client implements boragewick.Engine for the model engine at its Endpoint.
type Client struct {
	endpointhttp.Caller
}

// Run runs the request and emits its answer. A stream that is cut, silent or
// crossed with another one is resumed on a new connection from the last token
// received. An answer that can't be completed gives ErrEndpointFailed,
// ErrTimeout or ErrWrongAnswer. Once ctx is done, the engine is told to cancel.
func (c *Client) Run(ctx context.Context, r *boragewick.Request, emit func(boragewick.Chunk) error) error {
	s := &stream{request: r}
	s.Writer = answer.Writer{Request: r.ID, Emit: emit}
	err := c.first(ctx, s)
	for tries := 0; err != nil && s.resumable(ctx, err) && tries < resumeLimit; tries++ {
		tokens := s.tokens
		next := c.resume(ctx, s)
		if errors.Is(next, errGone) {
			next = final(errors.WithSecondaryError(err, next))
		}
		err = next
		if s.tokens > tokens {
			tries = 0
		}
	}
	if err != nil && !errors.Is(err, boragewick.ErrNotRun) {
		c.cancel(ctx, r.ID)
	}
	return err
}

// first sends the request itself.
func (c *Client) first(ctx context.Context, s *stream) error {
	r := s.request
	h := endpointhttp.RequestHeader(r)
	setOrDelete(h, headerWeights, r.Model.Weights)
	setOrDelete(h, headerAdapter, r.Model.Adapter)
	h.Set(headerPriority, strconv.Itoa(r.Priority))
	blocks, err := boragewick.BlockList(r.Blocks).MarshalText()
	if err != nil {
		return boragewick.NotRun(err)
	}
	setOrDelete(h, headerBlocks, string(blocks))
	w, err := c.Do(ctx, &endpointhttp.Call{
		Method:  r.Method,
		Path:    r.Path,
		Header:  h,
		Body:    r.Body,
		FirstBy: r.Deadline,
	})
	if err != nil {
		return err
	}
	defer w.Body.Close()
	if err := s.check(w); err != nil {
		return err
	}
	if w.StatusCode != http.StatusOK {
		return s.refusal(w)
	}
	return s.read(w)
}

// resume asks for the rest of the answer on a new connection.
func (c *Client) resume(ctx context.Context, s *stream) error {
	r := s.request
	h := http.Header{}
	h.Set(endpointhttp.HeaderRequestID, string(r.ID))
	call := &endpointhttp.Call{
		Method: http.MethodGet,
		Path:   "/resume/" + url.PathEscape(string(r.ID)) + "?from=" + strconv.Itoa(s.tokens),
		Header: h,
	}
	if s.tokens == 0 {
		call.FirstBy = r.Deadline
	}
	w, err := c.Do(ctx, call)
	if err != nil {
		return unknown(err)
	}
	defer w.Body.Close()
	if err := s.check(w); err != nil {
		return err
	}
	if w.StatusCode != http.StatusOK {
		return errors.Mark(errors.Wrapf(boragewick.ErrEndpointFailed, "resume: status %d", w.StatusCode), errGone)
	}
	return s.read(w)
}

// cancel tells the engine to stop working on the request.
func (c *Client) cancel(ctx context.Context, id boragewick.RequestID) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	h := http.Header{}
	h.Set(endpointhttp.HeaderRequestID, string(id))
	w, err := c.Do(ctx, &endpointhttp.Call{
		Method: http.MethodPost,
		Path:   "/cancel/" + url.PathEscape(string(id)),
		Header: h,
	})
	if err != nil {
		return
	}
	_ = w.Body.Close() // the engine has the cancel already
}

// get decodes the JSON answer at the path into v.
func (c *Client) get(ctx context.Context, path string, v any) error {
	w, err := c.Do(ctx, &endpointhttp.Call{
		Method:  http.MethodGet,
		Path:    path,
		FirstBy: time.Now().Add(stateTimeout),
		Between: stateTimeout,
	})
	if err != nil {
		return err
	}
	defer w.Body.Close()
	if w.StatusCode != http.StatusOK {
		return errors.Wrapf(boragewick.ErrEndpointFailed, "%s: status %d", path, w.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(w.Body, maxWholeBytes)).Decode(v); err != nil {
		return errors.Wrapf(boragewick.ErrEndpointFailed, "%s: %v", path, err)
	}
	return nil
}

func setOrDelete(h http.Header, name, value string) {
	if value == "" {
		h.Del(name)
		return
	}
	h.Set(name, value)
}
