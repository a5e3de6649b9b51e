// Package gateway is the HTTP handler that forwards callers' requests to
// endpoints. It decides which endpoint runs a request, whether it may be retried
// on another one, and which status the caller gets.
package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/mirror"
	"github.com/boragewick/boragewick/retry"
	"github.com/boragewick/boragewick/upstream"
)

const (
	// defaultTimeout applies to requests that state no timeout.
	defaultTimeout = 30 * time.Second
	// rateWait is how long a request may wait for tokens of its workspace's rate.
	rateWait = 250 * time.Millisecond
	// newRequestFraction is the part of Gateway.WeightsGracePeriod after which
	// new requests go to engines with older weights only where others are overloaded; the
	// rest is for requests that wait in an engine's queue. lastStartFraction is the
	// part after which no request is sent to such an engine and no run is moved.
	newRequestFraction = 0.6
	lastStartFraction  = 0.85
	// withdrawFraction is the part after which a request that has not begun at such an
	// engine is withdrawn from it.
	withdrawFraction = 0.95
	// logEvery samples the log of successful requests: one in logEvery is logged.
	// The others only appear in the metrics.
	logEvery = 64
)

// Gateway is an http.Handler. Its fields are set before it serves.
type Gateway struct {
	Dialect boragewick.Dialect
	// View returns the current routing table and weights versions; nil before the
	// first routing table has arrived.
	View func() *mirror.View
	// ViewCurrent reports whether the View is kept up to date.
	ViewCurrent func() bool
	Placer      boragewick.Placer
	Observer    boragewick.DispatchObserver
	Client      *upstream.Client
	// Mover moves runs between engines; it may be nil.
	Mover boragewick.Mover
	// Limiter enforces the rates of workspaces. The workspace's name is used as
	// its ID.
	Limiter boragewick.Limiter
	// EndpointLimits keeps to the limits that endpoints name; nil keeps to none.
	EndpointLimits boragewick.EndpointLimiter
	// Memory bounds the bytes of requests and responses that are held; nil has no bound.
	Memory boragewick.MemoryBudget
	// Clock is the clock that the Limiter, EndpointLimits and Memory use.
	Clock       boragewick.Clock
	RetryBudget *retry.Budget
	// Parts tells which prompt parts and requests are in quarantine or suspected; nil
	// means none.
	Parts boragewick.PartStatus
	// Crashes is notified of broken and complete answers; it may be nil.
	Crashes boragewick.CrashObserver
	// Origins knows where streams began; nil knows nothing.
	Origins boragewick.StreamOrigins
	// Headroom decides when requests to engines are sent first; nil means at once.
	Headroom boragewick.Headroom
	// Draining decides which requests are accepted while the router stops; nil means all.
	Draining boragewick.DrainPolicy
	// WeightsGracePeriod is the time within which all requests must start on
	// newer weights, counted from when these were named; zero means no bound.
	WeightsGracePeriod time.Duration
	// CloseConnections reports whether responses ask the caller to close the
	// connection; nil means never.
	CloseConnections func() bool
	Logger           log.Logger
	Metrics          metrics.Registry

	served atomic.Uint64
}

// exchange is the state of one caller's request.
type exchange struct {
	*Gateway
	boragewick.Inbound
	w         http.ResponseWriter
	r         *http.Request
	view      *mirror.View
	route     *boragewick.HostRoute
	workspace *boragewick.WorkspaceRule
	pool      *boragewick.PoolRule
	body      []byte
	memory    memoryUse
	// parts are the keys of the prompt parts that other requests may share.
	parts []uint64
	// key is the requestKey if keyed is set.
	key   uint64
	keyed bool
	// bodyRead is set once body is complete.
	bodyRead bool
	// started is when the request header had been read. deadline is the earlier of
	// the caller's and the route's timeout.
	started  time.Time
	deadline time.Time
	// committed is set once the response header has been written.
	committed bool
	// sent counts the attempts in which the request was sent to an endpoint.
	sent int
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	// decided is set once Headroom has decided on the request, and place is the room that
	// it was admitted to; nil without pressure.
	decided  bool
	place    boragewick.Place
	endpoint string
	// sentAt is when the current attempt was sent, by Clock.
	sentAt time.Time
	// acceptedAt is when Draining first accepted the request.
	acceptedAt time.Time
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{Gateway: g, w: w, r: r, started: time.Now(), view: g.View()}
	x.memory.budget = g.Memory
	defer x.memory.releaseAll()
	err := x.serve()
	if !x.finish(err) {
		panic(http.ErrAbortHandler) // or the caller would take what it has got for a complete response
	}
}

// serve handles the request. On an error no response, or only part of one, has
// been written.
func (x *exchange) serve() error {
	if err := x.admit(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	if err := x.readBody(); err != nil {
		return err
	}
	x.bodyRead = true
	if err := x.checkQuarantine(); err != nil {
		return boragewick.NotRun(err)
	}
	reservation, err := x.reserve(ctx)
	if err != nil {
		return err
	}
	defer func() { reservation.Settle(x.used()) }()
	return x.forward(ctx)
}

// admit reads the request header, finds the request's route, workspace and pool,
// and sets its deadline.
func (x *exchange) admit() error {
	var err error
	if x.Inbound, err = x.Dialect.Inbound(x.r); err != nil {
		return boragewick.NotRun(err)
	}
	if x.view == nil {
		return boragewick.NotRun(errors.Wrap(boragewick.ErrStaleConfig, "no routing table yet"))
	}
	x.route = x.view.Route(x.Host, x.Path)
	if x.route == nil {
		return x.lookupError(errors.Wrapf(boragewick.ErrUnknownRoute, "%s%s", x.Host, x.Path))
	}
	if x.Key != "" {
		x.workspace = x.view.Workspace(x.Key)
	}
	if x.workspace == nil && !x.route.AllowAnonymous && len(x.view.Table.Workspaces) > 0 {
		return x.lookupError(errors.Wrap(boragewick.ErrUnknownKey, "no workspace holds the key"))
	}
	if limit := x.view.Table.Limits.HeaderBytes; limit > 0 && headerBytes(x.r) > limit {
		return boragewick.NotRun(errors.Wrap(errHeaderTooLarge, "request header"))
	}
	if c := boragewick.CallerConnFrom(x.r.Context()); c != nil {
		c.SetUnreadTimeout(unreadTimeout(x.route))
	}
	x.pool = x.view.Choose(x.route)
	if x.pool == nil {
		return boragewick.NotRun(errors.Wrapf(boragewick.ErrNoEndpoint, "route %s has no pool", x.route.Name))
	}
	timeout := x.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	x.deadline = x.started.Add(min(timeout, x.route.Timeout))
	if x.pool.Engine != nil {
		x.parts = boragewick.SharedPartKeys(x.Model, x.Prefix)
	}
	return boragewick.NotRun(x.checkQuarantine())
}

// lookupError marks err, a failed lookup in the routing table, as not run. While
// the table may be out of date it replaces err by ErrStaleConfig.
func (x *exchange) lookupError(err error) error {
	if !x.ViewCurrent() {
		err = errors.Wrapf(boragewick.ErrStaleConfig, "%s", err)
	}
	return boragewick.NotRun(err)
}

// headerBytes returns the approximate size of the request line and header.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// reserve reserves the request's cost from its workspace's rate.
func (x *exchange) reserve(ctx context.Context) (boragewick.Reservation, error) {
	if x.workspace == nil || x.workspace.PerSecond == 0 || x.Limiter == nil {
		return unlimited{}, nil
	}
	until := x.Clock.Now().Add(min(rateWait, time.Until(x.deadline)))
	return x.Limiter.Reserve(ctx, boragewick.ID(x.workspace.Name), x.cost(), until)
}

// cost returns what the request costs in units of its workspace's rate: tokens
// or requests.
func (x *exchange) cost() uint64 {
	switch {
	case !x.workspace.ByTokens:
		return 1
	case x.Counted:
		return uint64(x.PromptTokens + x.OutputTokens)
	default:
		return x.workspace.DefaultTokens
	}
}

// used returns the part of the cost that is charged: all of it once the request
// has been sent to an endpoint.
func (x *exchange) used() uint64 {
	if x.workspace == nil || x.sent == 0 {
		return 0
	}
	return x.cost()
}

// unlimited is the reservation of a workspace without a rate.
type unlimited struct{}

func (unlimited) Settle(uint64) {}

// finish writes an error response if the request failed before anything was
// written, and records the result in the metrics and the log. It reports whether the
// response is complete.
func (x *exchange) finish(err error) (complete bool) {
	took := time.Since(x.started)
	status := http.StatusOK
	complete = err == nil
	if err != nil {
		status = statusOf(err)
		if !x.committed && !x.callerLeft() {
			x.writeError(status, err)
			complete = true
		}
	}
	x.recordRequest(status, took)
	if err == nil && x.served.Add(1)%logEvery != 0 {
		return complete
	}
	logger, outcome := level.Info(x.Logger), "served"
	if err != nil {
		logger, outcome = level.Warn(x.Logger), string(boragewick.OutcomeOf(err))
	}
	_ = logger.Log(append(x.logFields(), "status", status, "outcome", outcome, "took_ms", took.Milliseconds(), "err", err)...)
	return complete
}

// callerLeft reports whether the caller has closed its connection. The request's
// context is also done when the router stops.
func (x *exchange) callerLeft() bool {
	ctx := x.r.Context()
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), boragewick.ErrDraining)
}

// logFields returns the fields of the request's log line without its outcome.
func (x *exchange) logFields() []any {
	line := []any{"msg", "request", "id", x.ID}
	if x.view != nil {
		line = append(line, "table", x.view.Table.Version)
	}
	if x.route != nil {
		line = append(line, "route", x.route.Name)
	}
	if x.pool != nil {
		line = append(line, "pool", x.pool.Name)
	}
	if x.workspace != nil {
		line = append(line, "workspace", x.workspace.Name, "cost", x.cost())
	}
	if x.TakenUp {
		line = append(line, "resumes", x.Resumes)
	}
	return append(line, "endpoint", x.endpoint, "sent", x.sent, "unsure", x.mayHaveRun, "patience_ms", x.Timeout.Milliseconds())
}

// count increments the counter.
func (x *exchange) count(name string) {
	if x.Metrics != nil {
		metrics.GetOrRegisterCounter(name, x.Metrics).Inc(1)
	}
}

// recordFirstByte adds the time until the response header to the metrics.
func (x *exchange) recordFirstByte() {
	if x.Metrics != nil {
		metrics.GetOrRegisterTimer("requests.first_byte", x.Metrics).UpdateSince(x.started)
	}
}

// recordRequest adds the request's status, retries and duration to the metrics.
func (x *exchange) recordRequest(status int, took time.Duration) {
	if x.Metrics == nil {
		return
	}
	metrics.GetOrRegisterCounter("requests.status_"+strconv.Itoa(status), x.Metrics).Inc(1)
	if x.sent > 1 {
		metrics.GetOrRegisterCounter("requests.sent_again", x.Metrics).Inc(int64(x.sent - 1))
	}
	metrics.GetOrRegisterTimer("requests.took", x.Metrics).Update(took)
}
