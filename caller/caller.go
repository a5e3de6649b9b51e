// Package caller serves callers over HTTP: OpenAI-style model routes and plain
// routes that pass any method and body to a service.
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

// requestIDHeader carries the request's ID on the caller's answer and to the endpoint.
const requestIDHeader = "X-Request-Id"

// staleWait is how long after the configuration has gone stale requests wait
// for it rather than being refused.
const staleWait = 4 * time.Second

// Caller is an http.Handler that authenticates callers, keeps their workspaces
// within their rates and has their requests dispatched.
type Caller struct {
	View       *view.View
	Hasher     boragewick.KeyHasher
	Limiter    boragewick.Limiter
	Dispatcher boragewick.Dispatcher
	Watcher    boragewick.Watcher
	Traces     *trace.Ring
	Metrics    metrics.Registry
	Clock      boragewick.Clock
	Logger     log.Logger
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// FirstToken is how long a caller waits for the first token at most.
	FirstToken time.Duration
}

// ServeHTTP implements http.Handler.
func (c *Caller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := boragewick.NewRequestID()
	w.Header().Set(requestIDHeader, string(id))
	a := &answer{w: w, request: id}
	c.count("requests")
	if err := c.serve(a, r); err != nil {
		c.count("faults." + boragewick.CodeOf(err))
		_ = level.Info(c.Logger).Log("msg", "request failed", "request", id,
			"code", boragewick.CodeOf(err), "outcome", boragewick.OutcomeOf(err), "err", err)
		a.fail(err, c.Clock.Now())
	}
}

// count adds one to the named counter.
func (c *Caller) count(name string) {
	metrics.GetOrRegisterCounter(name, c.Metrics).Inc(1)
}

func (c *Caller) serve(a *answer, r *http.Request) error {
	switch {
	case r.URL.Path == "/healthz":
		return a.ok()
	case r.URL.Path == "/v1/models":
		return c.listModels(a, r)
	case r.URL.Path == "/v1/chat/completions", r.URL.Path == "/v1/completions":
		return c.serveModel(a, r)
	case strings.HasPrefix(r.URL.Path, "/v1/"):
		return boragewick.NotRun(errors.Wrapf(boragewick.ErrUnknownRoute, "no route for %s", r.URL.Path))
	default:
		return c.servePlain(a, r)
	}
}

func (c *Caller) serveModel(a *answer, r *http.Request) error {
	if r.Method != http.MethodPost {
		return boragewick.NotRun(errors.Wrapf(boragewick.ErrMalformed, "method %s; want POST", r.Method))
	}
	body, err := c.readBody(a.w, r)
	if err != nil {
		return boragewick.NotRun(err)
	}
	m, body, err := parseModel(body)
	if err != nil {
		return boragewick.NotRun(err)
	}
	workspace, err := c.authenticate(a, r, func() (*boragewick.Object, error) {
		return c.View.ModelRoute(m.Model, "")
	})
	if err != nil {
		return boragewick.NotRun(err)
	}
	route, err := c.View.ModelRoute(m.Model, workspace.ID)
	if err != nil {
		return boragewick.NotRun(err)
	}
	q := c.newRequest(a.request, r, workspace, route, body)
	q.Header = modelHeader(r.Header)
	q.MaxTokens = m.MaxTokens
	q.PromptTokens = m.Tokens()
	q.Blocks = m.Blocks(boragewick.PrefixSeed{Workspace: workspace.ID, Model: q.Model})
	q.Stream = m.Stream
	a.events = m.Stream
	return c.run(r.Context(), a, q, route)
}

func (c *Caller) servePlain(a *answer, r *http.Request) error {
	route, err := c.View.PathRoute(r.URL.Path)
	if err != nil {
		return boragewick.NotRun(err)
	}
	workspace, err := c.authenticate(a, r, func() (*boragewick.Object, error) { return route, nil })
	if err != nil {
		return boragewick.NotRun(err)
	}
	if !route.Route.Allows(workspace.ID) {
		return boragewick.NotRun(errors.Wrapf(boragewick.ErrForbiddenRoute, "%s", route.Route.Prefix))
	}
	body, err := c.readBody(a.w, r)
	if err != nil {
		return boragewick.NotRun(err)
	}
	q := c.newRequest(a.request, r, workspace, route, body)
	q.Header = plainHeader(r.Header)
	q.PromptTokens = uint64(len(body))/boragewick.BytesPerToken + 1
	return c.run(r.Context(), a, q, route)
}

// run has the request served and keeps its service level.
func (c *Caller) run(ctx context.Context, a *answer, q *boragewick.Request, route *boragewick.Object) error {
	series := boragewick.Series{Workspace: q.Workspace, Route: q.Route, Model: q.Model.Name}
	arrived := c.Clock.Now()
	q.Watch = c.Watcher.Watch(series, arrived)
	q.Trace = &boragewick.Trace{Request: q.ID, Workspace: q.Workspace, Route: q.Route, Arrived: arrived}
	err := c.reserve(ctx, a, q, route)
	ended := c.Clock.Now()
	q.Watch.Done(ended, err)
	q.Trace.End(ended, err)
	c.Traces.Add(q.Trace)
	metrics.GetOrRegisterCounter("dispatches", c.Metrics).Inc(int64(len(q.Trace.Attempts)))
	return err
}

// reserve takes the request's tokens, has it dispatched and settles.
func (c *Caller) reserve(ctx context.Context, a *answer, q *boragewick.Request, route *boragewick.Object) error {
	if route.Route.Open {
		_, err := c.dispatch(ctx, a, q)
		return err
	}
	reservation, err := c.await(ctx, q, a.key)
	if err != nil {
		return boragewick.NotRun(err)
	}
	q.Trace.Admitted = c.Clock.Now()
	used, err := c.dispatch(ctx, a, q)
	reservation.Settle(used)
	return err
}

// await waits for the request's tokens. When the configuration goes stale in
// the meantime, the request waits a little for it to be fresh again, and its
// key counts anew.
func (c *Caller) await(ctx context.Context, q *boragewick.Request, key boragewick.KeyHash) (boragewick.Reservation, error) {
	for {
		reservation, err := c.whileFresh(ctx, q)
		if !errors.Is(err, boragewick.ErrStaleConfig) {
			return reservation, err
		}
		if _, err := c.freshKey(ctx, key); err != nil {
			return nil, err
		}
	}
}

// whileFresh waits for the request's tokens until the configuration is stale.
func (c *Caller) whileFresh(ctx context.Context, q *boragewick.Request) (boragewick.Reservation, error) {
	ctx, cancel := c.View.WhileFresh(ctx)
	defer cancel()
	reservation, err := c.Limiter.Reserve(ctx, q.Workspace, q.PromptTokens+q.MaxTokens, q.Deadline)
	if err != nil && errors.Is(context.Cause(ctx), boragewick.ErrStaleConfig) {
		return nil, errors.Wrap(boragewick.ErrStaleConfig, "the control replicas are out of reach")
	}
	return reservation, err
}

// freshKey returns the workspace of the key. While the configuration has only
// just gone stale, as when the control replicas change their leader, it waits;
// a router that stays cut off refuses at once.
func (c *Caller) freshKey(ctx context.Context, key boragewick.KeyHash) (*boragewick.Object, error) {
	workspace, err := c.View.Key(key)
	if !errors.Is(err, boragewick.ErrStaleConfig) {
		return workspace, err
	}
	until := c.View.FreshUntil().Add(staleWait)
	if !until.After(c.Clock.Now()) {
		return nil, err
	}
	c.View.AwaitFresh(ctx, until)
	return c.View.Key(key)
}

// dispatch passes the answer on and returns the tokens that count as used. A
// request that may have run counts whole.
func (c *Caller) dispatch(ctx context.Context, a *answer, q *boragewick.Request) (used uint64, err error) {
	err = c.Dispatcher.Dispatch(ctx, q, func(chunk boragewick.Chunk) error {
		if chunk.End != nil {
			used = q.PromptTokens + chunk.End.OutputTokens
		}
		if len(chunk.Data) > 0 {
			q.Watch.Token(c.Clock.Now())
		}
		return a.write(chunk)
	})
	if err != nil && boragewick.OutcomeOf(err) != boragewick.OutcomeNotRun {
		used = q.PromptTokens + q.MaxTokens
	}
	return used, err
}
