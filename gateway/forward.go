package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/upstream"
)

const (
	// maxDials bounds the attempts of a request that may fail before a byte is sent.
	maxDials = 4
	// maxPriority is the largest priority that engines accept.
	maxPriority = 9
	// maxBackupMemory is the share of an engine's memory up to which it gets copies of other
	// engines' runs. The rest is left to its own requests: copies that fill the memory make
	// engines preempt runs and read prompts again.
	maxBackupMemory = 0.3
	// promptPerOutput is the largest number of prompt tokens for each output token with which
	// a run is copied. A run with a long prompt and a short output ends soon, so a copy
	// takes much memory for little protection.
	promptPerOutput = 10
	// routeRanks is the number of route ranks that are distinguished within one
	// workspace rank.
	routeRanks = 3
)

// errRetryElsewhere marks errors after which another endpoint may be tried.
var errRetryElsewhere = errors.New("another endpoint may be tried")

// forward sends the request to an endpoint and relays the response. It tries
// another endpoint when the request did not run or may be run again.
func (x *exchange) forward(ctx context.Context) error {
	x.RetryBudget.AddRequest(boragewick.ID(x.pool.Name))
	avoid := map[string]bool{}
	dials := 0
	stream := &relay{exchange: x, lastEventID: x.LastEvent}
	if err := stream.takeUp(ctx); err != nil {
		return boragewick.NotRun(err)
	}
	for {
		if err := x.checkBeforeSend(); err != nil {
			return x.finalError(ctx, err)
		}
		s, c, backup, err := x.nextCandidate(ctx, avoid, stream)
		if err != nil {
			return x.finalError(ctx, err)
		}
		avoid[c.Endpoint.Name] = true
		stream.backup = backup
		err = x.attemptWithin(ctx, c, &s, stream)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, errMoved):
			x.mayHaveRun = true
			continue
		case errors.Is(err, errLimitReached) && stream.resume == nil:
			continue
		}
		x.logAttempt(c, err)
		if ctx.Err() != nil || !errors.Is(err, errRetryElsewhere) || x.mayHaveRun && !x.rerunnable() {
			return x.finalError(ctx, err)
		}
		if errors.Is(err, upstream.ErrNotSent) {
			if dials++; dials >= maxDials {
				return x.finalError(ctx, err)
			}
			continue
		}
		if x.sent >= x.route.Attempts {
			return x.finalError(ctx, err)
		}
		// A request that is not sent again must not take a retry.
		if err := x.checkQuarantine(); err != nil {
			return x.finalError(ctx, err)
		}
		at, ok := x.takeRetry(stream.watchdog)
		if !ok {
			return x.finalError(ctx, errors.Wrap(err, "retry budget exhausted"))
		}
		waitUntil(ctx, at)
	}
}

// nextCandidate returns the endpoint for the next attempt: the one that the run
// has been moved to, or else the best one. s are the criteria for it, and backup is the
// endpoint that keeps a copy of the run, or nil.
func (x *exchange) nextCandidate(ctx context.Context, avoid map[string]bool, stream *relay) (s boragewick.Selection, c, backup *boragewick.Candidate, err error) {
	s, candidates, err := x.selectCandidates(ctx, avoid, stream)
	if stream.resume != nil {
		c = stream.resume.to
	} else if err != nil {
		return s, nil, nil, err
	} else {
		c = &candidates[0]
	}
	if x.pool.Engine != nil && c.Weights == "" {
		x.count("requests.unknown_weights")
		return s, c, nil, nil
	}
	if !x.wantsBackup() {
		return s, c, nil, nil
	}
	for i := range candidates {
		if b := &candidates[i]; b.Endpoint.Name != c.Endpoint.Name && keepsCopy(b, c) {
			return s, c, b, nil
		}
	}
	x.count("backups.no_room")
	return s, c, nil, nil
}

// keepsCopy reports whether the engine of b can go on with a run of the engine of c, which has
// known weights, and has room for a copy of it.
func keepsCopy(b, c *boragewick.Candidate) bool {
	return b.Weights == c.Weights && b.Endpoint.Build == c.Endpoint.Build && b.Limit == nil && b.MemoryUse <= maxBackupMemory
}

// limitWait returns how long the next attempt may wait for a share of its endpoint's
// limit.
func (s *relay) limitWait() time.Duration {
	if s.resume != nil && !s.resume.back {
		return resumeWait
	}
	return limitWait
}

// wantsBackup reports whether another engine is to keep a copy of the run.
// Resumable streams need none, as another engine can prefill their prompt again.
func (x *exchange) wantsBackup() bool {
	return x.Mover != nil && x.pool.Engine != nil && x.pool.Engine.Backups &&
		x.route.Kind == boragewick.Streaming && !x.route.Resumable &&
		x.PromptTokens <= promptPerOutput*x.OutputTokens
}

// attemptWithin makes an attempt within the limit of the endpoint and reports how it
// ended.
func (x *exchange) attemptWithin(ctx context.Context, c *boragewick.Candidate, s *boragewick.Selection, stream *relay) error {
	share, err := x.reserveLimit(ctx, c, stream.limitWait())
	if err != nil {
		return err
	}
	sent, moved := x.sent, stream.resume
	err = x.attempt(ctx, c, s, stream)
	if ctx.Err() == nil && stream.returnToSource(moved, err) {
		x.logAttempt(c, err)
		err = errMoved
	}
	share.Settle(uint64(x.sent-sent) * boragewick.LimitedRequest)
	if !errors.Is(err, errMoved) {
		x.Observer.Report(boragewick.DispatchReport{Endpoint: c.Endpoint.Name, Incarnation: c.Endpoint.Incarnation, Err: err})
	}
	return err
}

// attempt sends the request to one endpoint and relays the response.
func (x *exchange) attempt(ctx context.Context, c *boragewick.Candidate, s *boragewick.Selection, stream *relay) error {
	s.Resumed = stream.resume != nil
	flight := x.Placer.Begin(c, s)
	defer flight.End()
	x.recordPlaced()
	x.endpoint = c.Endpoint.Name
	sendCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream.watchdog = x.newWatchdog(c, stream, flight)
	if x.pool.Engine != nil {
		go stream.watchdog.watch(sendCtx, cancel, flight)
	}
	x.sentAt = x.Clock.Now()
	sent := &boragewick.BrokenAttempt{ID: x.ID, Endpoint: c.Endpoint, SentAt: x.sentAt}
	resp, err := x.Client.Send(sendCtx, c.Endpoint.Agent, x.request(c, stream))
	if errors.Is(err, upstream.ErrNotSent) {
		return errors.Mark(err, errRetryElsewhere)
	}
	x.sent++
	if err != nil {
		x.observeBroken(ctx, sendCtx, sent, flight)
		return x.failedAfterSend(sendCtx, err)
	}
	defer resp.Close()
	if err := x.checkReply(sendCtx, resp, c, flight); err != nil {
		return err
	}
	begun := true
	if x.route.Kind == boragewick.Streaming && resp.StatusCode < http.StatusMultipleChoices {
		events := stream.events
		err = stream.deliver(ctx, resp, c, s, flight)
		begun = stream.events > events
	} else {
		x.recordStart(c)
		err = x.deliver(resp, flight)
	}
	if errors.Is(err, errConnBroken) {
		x.observeBroken(ctx, sendCtx, sent, flight)
	}
	if errors.Is(err, errMoved) {
		resp.Discard()
		return err
	}
	if err != nil {
		resp.Discard()
		return x.failedAfterSend(sendCtx, err)
	}
	x.observeTimes(stream, resp.StatusCode)
	if resp.StatusCode < http.StatusMultipleChoices || x.pool.Engine == nil {
		x.observeAnswered(ctx, sendCtx, sent, flight, resp.CloseDelimited(), begun)
	}
	return nil
}

// newWatchdog returns the watchdog of an attempt that begins.
func (x *exchange) newWatchdog(c *boragewick.Candidate, stream *relay, flight boragewick.Flight) *watchdog {
	attempt := x.sent + 1
	return &watchdog{
		startedAt:   time.Now(),
		canGoOn:     x.rerunnable() && attempt < x.route.Attempts,
		backup:      stream.backup != nil,
		mixed:       func() bool { return stream.mayBeMixed(c, flight) },
		untilExpiry: x.startLimit(c),
		takeRetry: func() (time.Time, bool) {
			return x.RetryBudget.TakeRetry(boragewick.ID(x.pool.Name), attempt)
		},
	}
}

// takeRetry takes a retry and returns when it may start. The watchdog of the failed attempt has
// taken it if it has ended the attempt early.
func (x *exchange) takeRetry(w *watchdog) (time.Time, bool) {
	if w != nil {
		if at := w.retryAt.Load(); at != nil {
			return *at, true
		}
	}
	return x.RetryBudget.TakeRetry(boragewick.ID(x.pool.Name), x.sent)
}

// checkReply records what the head of the response says of its endpoint. The error is set if
// the response belongs to another request or says that the endpoint has not run this one.
func (x *exchange) checkReply(ctx context.Context, resp *upstream.Response, c *boragewick.Candidate, flight boragewick.Flight) error {
	reply := x.Dialect.Reply(resp.StatusCode, resp.Header)
	// A refusal may carry no request ID.
	if reply.ID != x.ID && (reply.ID != "" || !reply.NotRun) {
		resp.Discard()
		return x.failedAfterSend(ctx, errors.Wrapf(boragewick.ErrWrongAnswer, "response has request ID %q", reply.ID))
	}
	x.logReply(&reply)
	x.logLimit(c, &reply)
	flight.Answered(&reply)
	if reply.NotRun {
		return errors.Mark(boragewick.NotRun(errors.Wrapf(boragewick.ErrOverloaded, "%s refused the request with status %d", c.Endpoint.Name, resp.StatusCode)), errRetryElsewhere)
	}
	return nil
}

// failedAfterSend records that an endpoint may have run the request. It marks err
// with errRetryElsewhere unless the caller's connection failed. ctx is that of the
// attempt; if the request was withdrawn, this replaces err, as it is no failure of the
// endpoint.
func (x *exchange) failedAfterSend(ctx context.Context, err error) error {
	x.mayHaveRun = true
	if cause := context.Cause(ctx); errors.Is(cause, errWeightsExpired) {
		err = cause
	}
	if errors.Is(err, errCallerWrite) {
		return err
	}
	return errors.Mark(err, errRetryElsewhere)
}

// rerunnable reports whether another endpoint may run the request after one has
// run all or part of it.
func (x *exchange) rerunnable() bool {
	return x.route.Kind == boragewick.Repeatable && !x.committed ||
		x.route.Kind == boragewick.Streaming && x.route.Resumable
}

// finalError returns the error for the caller. It is marked not run only if no
// endpoint may have run the request.
func (x *exchange) finalError(ctx context.Context, err error) error {
	if !x.mayHaveRun {
		return boragewick.NotRun(err)
	}
	// The last error may be marked not run by an endpoint that refused, while an
	// earlier endpoint may have run the request; the new error drops all marks.
	outcomeUnknown := errors.Newf("%s", err)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errors.Mark(outcomeUnknown, boragewick.ErrTimeout)
	}
	return outcomeUnknown
}

// request builds the request that is sent to the endpoint.
func (x *exchange) request(c *boragewick.Candidate, stream *relay) *upstream.Request {
	f := boragewick.Forward{
		Endpoint:  c.Endpoint.Name,
		Remaining: time.Until(x.deadline),
		Priority:  -1,
		LastEvent: stream.lastEventID,
	}
	if stream.resume != nil {
		f.ResumeFrom = stream.resume.copyName
		stream.resume = nil
	}
	if stream.backup != nil {
		f.BackupTo = stream.backup.Endpoint.Agent
	}
	if x.workspace != nil {
		f.Workspace = x.workspace.Name
	}
	if x.pool.Engine != nil {
		f.CacheScope = c.Scope
		f.Weights = c.Weights
		if f.ResumeFrom == "" {
			f.FetchFrom = c.Source
			f.SaveTo = c.SaveTo
		}
		f.Priority = min(x.priority(), maxPriority)
	}
	return &upstream.Request{
		Method:  x.r.Method,
		URI:     x.uri(),
		Host:    x.r.Host,
		Header:  x.Dialect.Outbound(x.r.Header, f),
		Body:    x.body,
		HasBody: x.r.ContentLength != 0,
	}
}

// uri returns the path and query as the caller sent them.
func (x *exchange) uri() string {
	if uri := x.r.RequestURI; uri != "" && uri[0] == '/' {
		return uri
	}
	return x.r.URL.RequestURI()
}

// requestKey returns the boragewick.RequestKey of the request.
func (x *exchange) requestKey() uint64 {
	if !x.keyed {
		caller := ""
		if x.workspace != nil {
			caller = x.workspace.Name
		}
		x.key, x.keyed = boragewick.RequestKey(x.r.Method, x.r.Host, x.uri(), caller, x.body), true
	}
	return x.key
}

// priority returns the request's priority; lower is more urgent. The workspace's
// rank takes precedence over the route's.
func (x *exchange) priority() int {
	if x.workspace != nil && x.workspace.Rank != nil {
		return *x.workspace.Rank*routeRanks + min(x.route.Rank, routeRanks-1)
	}
	return x.route.Rank
}

// logReply logs and counts what an endpoint states about its availability.
func (x *exchange) logReply(r *boragewick.Reply) {
	note := func(what, counter string, value any) {
		x.count(counter)
		_ = level.Info(x.Logger).Log("msg", what, "id", x.ID, "endpoint", x.endpoint, "value", value)
	}
	if r.Leaving {
		note("endpoint states that it leaves", "answers.leaving", true)
	}
	if r.RetryAfter > 0 {
		note("endpoint wants no requests", "answers.retry_after", r.RetryAfter)
	}
	if r.BadRetryAfter != "" {
		note("endpoint's Retry-After ignored", "answers.bad_retry_after", r.BadRetryAfter)
	}
	if r.BadLimit != "" {
		note("endpoint's limit ignored", "answers.bad_limit", r.BadLimit)
	}
}

// logAttempt logs a failed attempt.
func (x *exchange) logAttempt(c *boragewick.Candidate, err error) {
	_ = level.Warn(x.Logger).Log("msg", "attempt failed", "id", x.ID, "endpoint", c.Endpoint.Name, "addr", c.Endpoint.Agent,
		"request", fmt.Sprintf("%016x", x.requestKey()), "weights", c.Weights, "build", c.Endpoint.Build, "cached_tokens", c.Matched, "prompt_tokens", x.PromptTokens, "table", x.view.Table.Version,
		"sent", x.sent, "unsure", x.mayHaveRun, "again", errors.Is(err, errRetryElsewhere), "err", err)
}

// waitUntil blocks until the given time or until ctx is done.
func waitUntil(ctx context.Context, at time.Time) {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
