// Package engine is a client for model engines that implement the OpenAI completion
// API over HTTP. Interrupted answers are resumed by request ID.
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

// Request headers that the engine reads in addition to the request ID.
const (
	headerBlocks   = "X-Prefix-Blocks"
	headerPriority = "X-Priority"
	headerWeights  = "X-Model-Weights"
	headerAdapter  = "X-Model-Adapter"
)

const (
	// maxStalledResumes is the number of resumes after which an answer is
	// abandoned. The count restarts with each resume that receives a new event,
	// which itself counts as the first.
	maxStalledResumes = 3
	cancelTimeout     = time.Second
	callTimeout       = 3 * time.Second
	maxBodyBytes      = 64 << 20
	maxErrorBytes     = 1 << 20
)

// Client implements boragewick.Engine for the model engine at its Endpoint.
type Client struct {
	endpointhttp.Caller
}

// Run runs the request and emits its answer. If a stream breaks, times out or
// carries the answer to another request, it is resumed on a new connection after
// the last token received. If the answer can't be completed, the error is
// ErrEndpointFailed, ErrTimeout or ErrWrongAnswer. Once ctx is done, the request is
// canceled at the engine.
func (c *Client) Run(ctx context.Context, r *boragewick.Request, emit func(boragewick.Chunk) error) error {
	s := &stream{request: r}
	s.Writer = answer.Writer{Request: r.ID, Emit: emit}
	err := c.sendRequest(ctx, s)
	for resumes := 0; err != nil && s.resumable(ctx, err) && resumes < maxStalledResumes; resumes++ {
		before := s.lastEvent
		resumeErr := c.resume(ctx, s)
		if errors.Is(resumeErr, errUnknownToEngine) {
			resumeErr = markNotResumable(errors.WithSecondaryError(err, resumeErr))
		}
		err = resumeErr
		if s.lastEvent > before {
			resumes = 0
		}
	}
	if err != nil && !errors.Is(err, boragewick.ErrNotRun) {
		c.cancel(ctx, r.ID)
	}
	return err
}

// sendRequest sends the request and reads its answer.
func (c *Client) sendRequest(ctx context.Context, s *stream) error {
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
	resp, err := c.Do(ctx, &endpointhttp.Call{
		Method:            r.Method,
		Path:              r.Path,
		Header:            h,
		Body:              r.Body,
		FirstByteDeadline: r.Deadline,
	})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := s.checkHeader(resp); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return s.handleRefusal(resp)
	}
	return s.readAnswer(resp)
}

// resume requests the rest of the answer on a new connection.
func (c *Client) resume(ctx context.Context, s *stream) error {
	r := s.request
	h := http.Header{}
	h.Set(endpointhttp.HeaderRequestID, string(r.ID))
	call := &endpointhttp.Call{
		Method: http.MethodGet,
		Path:   "/resume/" + url.PathEscape(string(r.ID)) + "?from=" + strconv.Itoa(s.lastEvent),
		Header: h,
	}
	if s.lastEvent == 0 {
		call.FirstByteDeadline = r.Deadline
	}
	resp, err := c.Do(ctx, call)
	if err != nil {
		return withoutNotRun(err)
	}
	defer resp.Body.Close()
	if err := s.checkHeader(resp); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Mark(errors.Wrapf(boragewick.ErrEndpointFailed, "resume: status %d", resp.StatusCode), errUnknownToEngine)
	}
	return s.readAnswer(resp)
}

// cancel requests that the engine stop the run of the request.
func (c *Client) cancel(ctx context.Context, id boragewick.RequestID) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	h := http.Header{}
	h.Set(endpointhttp.HeaderRequestID, string(id))
	resp, err := c.Do(ctx, &endpointhttp.Call{
		Method: http.MethodPost,
		Path:   "/cancel/" + url.PathEscape(string(id)),
		Header: h,
	})
	if err != nil {
		return
	}
	_ = resp.Body.Close() // the engine has already received the cancellation
}

// get requests the path and decodes the JSON response into v.
func (c *Client) get(ctx context.Context, path string, v any) error {
	resp, err := c.Do(ctx, &endpointhttp.Call{
		Method:            http.MethodGet,
		Path:              path,
		FirstByteDeadline: time.Now().Add(callTimeout),
		ReadTimeout:       callTimeout,
	})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(boragewick.ErrEndpointFailed, "%s: status %d", path, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(v); err != nil {
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
