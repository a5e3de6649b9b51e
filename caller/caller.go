// Package caller implements the HTTP front end for callers: OpenAI-compatible
// model routes and plain routes that forward any method and body to a service.
package caller

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/trace"
	"github.com/boragewick/boragewick/view"
)

// requestIDHeader carries the request ID to the endpoint and in the response to
// the caller.
const requestIDHeader = "X-Request-Id"

// staleGracePeriod is how long after the configuration became stale requests wait
// for it to become fresh instead of being refused.
const staleGracePeriod = 4 * time.Second

// Handler is an http.Handler that authenticates callers, enforces the rates of
// their workspaces and dispatches their requests.
type Handler struct {
	View       *view.View
	Hasher     boragewick.KeyHasher
	Limiter    boragewick.Limiter
	Dispatcher boragewick.Dispatcher
	Watcher    boragewick.Watcher
	Traces     *trace.Ring
	Metrics    metrics.Registry
	Clock      boragewick.Clock
	Logger     log.Logger
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// FirstTokenTimeout is the maximum time a caller waits for the first token.
	FirstTokenTimeout time.Duration
}

// ServeHTTP implements http.Handler.
func (c *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := boragewick.NewRequestID()
	w.Header().Set(requestIDHeader, string(id))
	resp := &response{w: w, requestID: id}
	c.count("requests")
	if err := c.serve(resp, r); err != nil {
		c.count("faults." + boragewick.CodeOf(err))
		_ = level.Info(c.Logger).Log("msg", "request failed", "request", id,
			"code", boragewick.CodeOf(err), "outcome", boragewick.OutcomeOf(err), "err", err)
		resp.fail(err, c.Clock.Now())
	}
}

// count increments the named counter.
func (c *Handler) count(name string) {
	metrics.GetOrRegisterCounter(name, c.Metrics).Inc(1)
}

func (c *Handler) serve(resp *response, r *http.Request) error {
	switch {
	case r.URL.Path == "/healthz":
		return resp.ok()
	case r.URL.Path == "/v1/models":
		return c.listModels(resp, r)
	case r.URL.Path == "/v1/chat/completions", r.URL.Path == "/v1/completions":
		return c.serveModel(resp, r)
	case strings.HasPrefix(r.URL.Path, "/v1/"):
		return boragewick.NotRun(errors.Wrapf(boragewick.ErrUnknownRoute, "no route for %s", r.URL.Path))
	default:
		return c.servePlain(resp, r)
	}
}

func (c *Handler) serveModel(resp *response, r *http.Request) error {
	if r.Method != http.MethodPost {
		return boragewick.NotRun(errors.Wrapf(boragewick.ErrMalformed, "method %s; want POST", r.Method))
	}
	body, err := c.readBody(resp.w, r)
	if err != nil {
		return boragewick.NotRun(err)
	}
	p, body, err := parseModelRequest(body)
	if err != nil {
		return boragewick.NotRun(err)
	}
	workspace, err := c.authenticate(resp, r, func() (*boragewick.Object, error) {
		return c.View.ModelRoute(p.Model, "")
	})
	if err != nil {
		return boragewick.NotRun(err)
	}
	route, err := c.View.ModelRoute(p.Model, workspace.ID)
	if err != nil {
		return boragewick.NotRun(err)
	}
	q := c.newRequest(resp.requestID, r, workspace, route, body)
	q.Header = modelHeader(r.Header)
	q.MaxTokens = p.MaxTokens
	q.PromptTokens = p.Tokens()
	q.Blocks = p.Blocks(boragewick.PrefixSeed{Workspace: workspace.ID, Model: q.Model})
	q.Stream = p.Stream
	resp.eventStream = p.Stream
	return c.serveAndRecord(r.Context(), resp, q, route)
}

func (c *Handler) servePlain(resp *response, r *http.Request) error {
	route, err := c.View.PathRoute(r.URL.Path)
	if err != nil {
		return boragewick.NotRun(err)
	}
	workspace, err := c.authenticate(resp, r, func() (*boragewick.Object, error) { return route, nil })
	if err != nil {
		return boragewick.NotRun(err)
	}
	if !route.Route.Allows(workspace.ID) {
		return boragewick.NotRun(errors.Wrapf(boragewick.ErrForbiddenRoute, "%s", route.Route.Prefix))
	}
	body, err := c.readBody(resp.w, r)
	if err != nil {
		return boragewick.NotRun(err)
	}
	q := c.newRequest(resp.requestID, r, workspace, route, body)
	q.Header = plainHeader(r.Header)
	q.PromptTokens = uint64(len(body))/boragewick.BytesPerToken + 1
	return c.serveAndRecord(r.Context(), resp, q, route)
}

// serveAndRecord serves the request and records its trace and its service level.
func (c *Handler) serveAndRecord(ctx context.Context, resp *response, q *boragewick.Request, route *boragewick.Object) error {
	series := boragewick.Series{Workspace: q.Workspace, Route: q.Route, Model: q.Model.Name}
	arrived := c.Clock.Now()
	q.Watch = c.Watcher.Watch(series, arrived)
	q.Trace = &boragewick.Trace{Request: q.ID, Workspace: q.Workspace, Route: q.Route, Arrived: arrived}
	err := c.reserveAndDispatch(ctx, resp, q, route)
	ended := c.Clock.Now()
	q.Watch.Done(ended, err)
	q.Trace.End(ended, err)
	c.Traces.Add(q.Trace)
	metrics.GetOrRegisterCounter("dispatches", c.Metrics).Inc(int64(len(q.Trace.Attempts)))
	return err
}

// reserveAndDispatch reserves tokens for the request, dispatches it and settles
// the reservation.
func (c *Handler) reserveAndDispatch(ctx context.Context, resp *response, q *boragewick.Request, route *boragewick.Object) error {
	if route.Route.Open {
		_, err := c.dispatch(ctx, resp, q)
		return err
	}
	reservation, err := c.reserveTokens(ctx, q, resp.keyHash)
	if err != nil {
		return boragewick.NotRun(err)
	}
	q.Trace.Admitted = c.Clock.Now()
	used, err := c.dispatch(ctx, resp, q)
	reservation.Settle(used)
	return err
}

// reserveTokens waits until tokens are reserved for the request. If the
// configuration becomes stale in the meantime, it waits up to staleGracePeriod
// for a fresh one and checks the key again before it retries.
func (c *Handler) reserveTokens(ctx context.Context, q *boragewick.Request, key boragewick.KeyHash) (boragewick.Reservation, error) {
	for {
		reservation, err := c.reserveWhileFresh(ctx, q)
		if !errors.Is(err, boragewick.ErrStaleConfig) {
			return reservation, err
		}
		if _, err := c.workspaceOfKey(ctx, key); err != nil {
			return nil, err
		}
	}
}

// reserveWhileFresh waits for the request's tokens; it returns ErrStaleConfig if
// the configuration becomes stale first.
func (c *Handler) reserveWhileFresh(ctx context.Context, q *boragewick.Request) (boragewick.Reservation, error) {
	ctx, cancel := c.View.WhileFresh(ctx)
	defer cancel()
	reservation, err := c.Limiter.Reserve(ctx, q.Workspace, q.PromptTokens+q.MaxTokens, q.Deadline)
	if err != nil && errors.Is(context.Cause(ctx), boragewick.ErrStaleConfig) {
		return nil, errors.Wrap(boragewick.ErrStaleConfig, "the control replicas are out of reach")
	}
	return reservation, err
}

// workspaceOfKey returns the workspace of the key. If the configuration became
// stale less than staleGracePeriod ago, as during a leader change of the control
// replicas, it waits for a fresh one. A router that has been cut off for longer
// refuses immediately.
func (c *Handler) workspaceOfKey(ctx context.Context, key boragewick.KeyHash) (*boragewick.Object, error) {
	workspace, err := c.View.Key(key)
	if !errors.Is(err, boragewick.ErrStaleConfig) {
		return workspace, err
	}
	until := c.View.FreshUntil().Add(staleGracePeriod)
	if !until.After(c.Clock.Now()) {
		return nil, err
	}
	c.View.AwaitFresh(ctx, until)
	return c.View.Key(key)
}

// dispatch forwards the response to the caller and returns the number of tokens
// charged. A failed request that may have run is charged its prompt and all of
// its MaxTokens.
func (c *Handler) dispatch(ctx context.Context, resp *response, q *boragewick.Request) (used uint64, err error) {
	err = c.Dispatcher.Dispatch(ctx, q, func(chunk boragewick.Chunk) error {
		if chunk.End != nil {
			used = q.PromptTokens + chunk.End.OutputTokens
		}
		if len(chunk.Data) > 0 {
			q.Watch.Token(c.Clock.Now())
		}
		return resp.write(chunk)
	})
	if err != nil && boragewick.OutcomeOf(err) != boragewick.OutcomeNotRun {
		used = q.PromptTokens + q.MaxTokens
	}
	return used, err
}
