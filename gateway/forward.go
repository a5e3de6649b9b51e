package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/upstream"
)

const (
	// maxDials bounds the endpoints that may fail before a byte is sent.
	maxDials = 4
	// maxUrgency is the last priority that engines know.
	maxUrgency = 9
	// routeRanks is the number of ranks of routes that are told apart within one
	// rank of workspaces.
	routeRanks = 3
)

// errAgain marks failures after which another endpoint may be tried.
var errAgain = errors.New("another endpoint may be tried")

// forward has an endpoint run the request and delivers its answer. It tries
// another one when that can do no harm.
func (x *exchange) forward(ctx context.Context) error {
	x.Budget.Request(boragewick.ID(x.pool.Name))
	avoid := map[string]bool{}
	dials := 0
	s := x.selection(avoid)
	stream := &relay{exchange: x, lastEvent: x.LastEvent}
	for {
		c, backup, err := x.next(ctx, s, stream)
		if err != nil {
			return x.giveUp(ctx, err)
		}
		avoid[c.Endpoint.Name] = true
		stream.backup = backup
		err = x.attempt(ctx, c, &s, stream)
		if errors.Is(err, errMoved) {
			x.unsure = true
			continue
		}
		x.Reports.Report(boragewick.DispatchReport{Endpoint: c.Endpoint.Name, Incarnation: c.Endpoint.Incarnation, Err: err})
		if err == nil {
			return nil
		}
		x.logAttempt(c, err)
		if ctx.Err() != nil || !errors.Is(err, errAgain) || x.unsure && !x.rerunnable() {
			return x.giveUp(ctx, err)
		}
		if errors.Is(err, upstream.ErrNotSent) {
			if dials++; dials >= maxDials {
				return x.giveUp(ctx, err)
			}
			continue
		}
		if x.sent >= x.route.Attempts {
			return x.giveUp(ctx, err)
		}
		at, ok := x.Budget.Retry(boragewick.ID(x.pool.Name), x.sent)
		if !ok {
			return x.giveUp(ctx, errors.Wrap(err, "no retry left"))
		}
		wait(ctx, at)
	}
}

// next returns where the request goes: where its run has been moved to, or the
// best endpoint. The second endpoint is to keep a copy of the run; it is nil
// without one.
func (x *exchange) next(ctx context.Context, s boragewick.Selection, stream *relay) (c, backup *boragewick.Candidate, err error) {
	candidates, err := x.Placer.Select(ctx, s)
	if stream.handover != nil {
		c = stream.handover.to
	} else if err != nil {
		return nil, nil, err
	} else {
		c = &candidates[0]
	}
	if !x.backedUp() {
		return c, nil, nil
	}
	for i := range candidates {
		if b := &candidates[i]; b.Endpoint.Name != c.Endpoint.Name && b.Weights == c.Weights {
			return c, b, nil
		}
	}
	return c, nil, nil
}

// backedUp reports whether another engine is to keep a copy of the run. Streams
// that can be resumed read their prompt again instead.
func (x *exchange) backedUp() bool {
	return x.Mover != nil && x.pool.Engine != nil && x.pool.Engine.Backups &&
		x.route.Kind == boragewick.Streaming && !x.route.Resumable
}

// selection returns what the choice of an endpoint depends on.
func (x *exchange) selection(avoid map[string]bool) boragewick.Selection {
	s := boragewick.Selection{
		Pool:     x.pool.Name,
		Kind:     boragewick.EndpointPlain,
		Deadline: x.deadline,
		Avoid:    func(name string) bool { return avoid[name] },
	}
	if x.pool.Engine == nil {
		return s
	}
	s.Kind = boragewick.EndpointModel
	s.Model = boragewick.Model{Name: x.Model}
	if version := x.view.Weights[x.Model]; version > 0 {
		s.Model.Weights = strconv.FormatUint(version, 10)
		s.LeastWeights = x.leastWeights(newShare)
	}
	s.PromptTokens = uint64(x.PromptTokens)
	s.Prefix = x.Prefix
	s.CacheScope = x.scope()
	s.Stores = x.view.Stores()
	return s
}

// leastWeights returns the oldest version on which a request may begin when a
// share of the bound for new weights may pass.
func (x *exchange) leastWeights(share float64) uint64 {
	life := time.Duration(float64(x.WeightsBound) * share)
	return x.View().LeastWeights(x.Model, x.Clock.Now().Add(-life))
}

// scope returns what keeps cached parts apart.
func (x *exchange) scope() string {
	if x.tenant != nil && x.tenant.Walled {
		return "w-" + x.tenant.Name
	}
	return "shared"
}

// attempt sends the request to one endpoint and delivers its answer.
func (x *exchange) attempt(ctx context.Context, c *boragewick.Candidate, s *boragewick.Selection, stream *relay) error {
	flight := x.Placer.Begin(c, s)
	defer flight.End()
	x.endpoint = c.Endpoint.Name
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream.guard = &guard{begun: time.Now()}
	if x.pool.Engine != nil {
		go stream.guard.watch(sendCtx, cancel, flight)
	}
	resp, err := x.Client.Send(sendCtx, c.Endpoint.Agent, x.request(c, stream))
	if errors.Is(err, upstream.ErrNotSent) {
		return errors.Mark(err, errAgain)
	}
	x.sent++
	if err != nil {
		return x.failed(err)
	}
	defer resp.Close()
	reply := x.Dialect.Reply(resp.StatusCode, resp.Header)
	flight.Answered(reply.Load)
	// A refusal may come without an ID.
	if reply.ID != x.ID && (reply.ID != "" || !reply.NotRun) {
		resp.Discard()
		return x.failed(errors.Wrapf(boragewick.ErrWrongAnswer, "answer to request %q", reply.ID))
	}
	if reply.NotRun {
		return errors.Mark(boragewick.NotRun(errors.Wrapf(boragewick.ErrOverloaded, "%s refused with %d", c.Endpoint.Name, resp.StatusCode)), errAgain)
	}
	if x.route.Kind == boragewick.Streaming && resp.StatusCode < http.StatusMultipleChoices {
		err = stream.deliver(ctx, resp, c, s, flight)
	} else {
		err = x.deliver(resp, flight)
	}
	if errors.Is(err, errMoved) {
		resp.Discard()
		return err
	}
	if err != nil {
		resp.Discard()
		return x.failed(err)
	}
	return nil
}

// failed notes that an endpoint may have run the request.
func (x *exchange) failed(err error) error {
	x.unsure = true
	if errors.Is(err, errCaller) {
		return err
	}
	return errors.Mark(err, errAgain)
}

// rerunnable reports whether another endpoint may run the request though one has
// run it, or a part of it.
func (x *exchange) rerunnable() bool {
	return x.route.Kind == boragewick.Repeatable && !x.committed ||
		x.route.Kind == boragewick.Streaming && x.route.Resumable
}

// giveUp returns the error that tells the caller what is true of the request.
func (x *exchange) giveUp(ctx context.Context, err error) error {
	if !x.unsure {
		return boragewick.NotRun(err)
	}
	// An endpoint that refused says nothing about an earlier one that did not.
	unsure := errors.Newf("%s", err)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errors.Mark(unsure, boragewick.ErrTimeout)
	}
	return unsure
}

// request returns the request as the endpoint gets it.
func (x *exchange) request(c *boragewick.Candidate, stream *relay) *upstream.Request {
	f := boragewick.Forward{
		Endpoint:  c.Endpoint.Name,
		Remaining: time.Until(x.deadline),
		Urgency:   -1,
		LastEvent: stream.lastEvent,
	}
	if stream.handover != nil {
		f.ResumeFrom = stream.handover.from
		stream.handover = nil
	}
	if stream.backup != nil {
		f.BackupTo = stream.backup.Endpoint.Agent
	}
	if x.tenant != nil {
		f.Workspace = x.tenant.Name
	}
	if x.pool.Engine != nil {
		f.CacheScope = c.Scope
		f.Weights = c.Weights
		if f.ResumeFrom == "" {
			f.FetchFrom = c.Source
			f.KeepAt = c.Keep
		}
		f.Urgency = min(x.rank(), maxUrgency)
	}
	uri := x.r.RequestURI
	if uri == "" || uri[0] != '/' {
		uri = x.r.URL.RequestURI()
	}
	return &upstream.Request{
		Method:  x.r.Method,
		URI:     uri,
		Host:    x.r.Host,
		Header:  x.Dialect.Outbound(x.r.Header, f),
		Body:    x.body,
		HasBody: x.r.ContentLength != 0,
	}
}

// rank returns how urgent the request is. The workspace's rank goes before the
// route's.
func (x *exchange) rank() int {
	if x.tenant != nil && x.tenant.Rank != nil {
		return *x.tenant.Rank*routeRanks + min(x.route.Rank, routeRanks-1)
	}
	return x.route.Rank
}

// logAttempt logs why an attempt failed.
func (x *exchange) logAttempt(c *boragewick.Candidate, err error) {
	_ = level.Warn(x.Logger).Log("msg", "attempt failed", "id", x.ID, "endpoint", c.Endpoint.Name, "addr", c.Endpoint.Agent,
		"weights", c.Weights, "cached_tokens", c.Matched, "prompt_tokens", x.PromptTokens, "table", x.view.Table.Version,
		"sent", x.sent, "unsure", x.unsure, "again", errors.Is(err, errAgain), "err", err)
}

// wait returns at the instant or when ctx is done.
func wait(ctx context.Context, at time.Time) {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
