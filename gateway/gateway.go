// Package gateway serves callers whose requests are passed on to endpoints as
// they are. It decides which endpoint runs a request, whether another one may,
// and what a caller is told.
package gateway

import (
	"context"
	"io"
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
	// defaultPatience is how long a caller waits that doesn't say.
	defaultPatience = 30 * time.Second
	// rateWait is how long a request waits for tokens of its workspace's rate.
	rateWait = 250 * time.Millisecond
	// newShare is the part of the bound for new weights after which old ones take
	// no new requests; the rest is for requests that wait at an engine. moveShare
	// is the same for runs that are moved, which wait for nothing.
	newShare  = 0.6
	moveShare = 0.85
	// logEvery is the share of successful requests that are logged: one in as
	// many. Others are counted.
	logEvery = 64
)

// Gateway is an http.Handler. Its fields are set before it serves.
type Gateway struct {
	Dialect boragewick.Dialect
	// View returns what is known of routes and endpoints; nil before there is a
	// routing table.
	View func() *mirror.View
	// InTouch reports whether the View is kept up to date.
	InTouch func() bool
	Placer  boragewick.Placer
	Reports boragewick.DispatchObserver
	Client  *upstream.Client
	// Mover moves runs between engines; it may be nil.
	Mover boragewick.Mover
	// Limiter keeps workspaces within their rates; their IDs are their names.
	Limiter boragewick.Limiter
	// Clock is the Limiter's.
	Clock  boragewick.Clock
	Budget *retry.Budget
	// WeightsBound is the time after newer weights were named within which all
	// requests must begin on them.
	WeightsBound time.Duration
	// Closing reports whether callers are to open another connection for their
	// next request; nil means never.
	Closing func() bool
	Logger  log.Logger
	Metrics metrics.Registry

	served atomic.Uint64
}

// exchange is one request of a caller.
type exchange struct {
	*Gateway
	boragewick.Inbound
	w      http.ResponseWriter
	r      *http.Request
	view   *mirror.View
	route  *boragewick.HostRoute
	tenant *boragewick.TenantRule
	pool   *boragewick.PoolRule
	body   []byte
	// started is when the head had been read, and deadline when the caller or
	// the route stops waiting.
	started  time.Time
	deadline time.Time
	// committed tells that the head of the answer has been written.
	committed bool
	// sent counts the endpoints that the request was sent to.
	sent int
	// unsure tells that an endpoint may have run the request.
	unsure   bool
	endpoint string
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{Gateway: g, w: w, r: r, started: time.Now(), view: g.View()}
	err := x.serve()
	x.finish(err)
	if err != nil && x.committed {
		panic(http.ErrAbortHandler) // the caller must not take the answer for whole
	}
}

// serve answers the request or returns why it could not.
func (x *exchange) serve() error {
	if err := x.admit(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	if err := x.readBody(); err != nil {
		return err
	}
	reservation, err := x.reserve(ctx)
	if err != nil {
		return err
	}
	defer func() { reservation.Settle(x.used()) }()
	return x.forward(ctx)
}

// admit finds the request's route and workspace.
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
		return x.unknown(errors.Wrapf(boragewick.ErrUnknownRoute, "%s%s", x.Host, x.Path))
	}
	if x.Key != "" {
		x.tenant = x.view.Tenant(x.Key)
	}
	if x.tenant == nil && !x.route.Open && len(x.view.Table.Tenants) > 0 {
		return x.unknown(errors.Wrap(boragewick.ErrUnknownKey, "no workspace holds the key"))
	}
	if limit := x.view.Table.Limits.HeaderBytes; limit > 0 && headerBytes(x.r) > limit {
		return boragewick.NotRun(errors.Wrap(errHeaderTooLarge, "request header"))
	}
	x.pool = x.view.Choose(x.route)
	if x.pool == nil {
		return boragewick.NotRun(errors.Wrapf(boragewick.ErrNoEndpoint, "route %s has no pool", x.route.Name))
	}
	patience := x.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	x.deadline = x.started.Add(min(patience, x.route.Timeout))
	return nil
}

// unknown returns the error, or that the table may be out of date.
func (x *exchange) unknown(err error) error {
	if !x.InTouch() {
		err = errors.Wrapf(boragewick.ErrStaleConfig, "%s", err)
	}
	return boragewick.NotRun(err)
}

// headerBytes returns the size of the request line and header.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// readBody reads the whole body, so that it can be sent again.
func (x *exchange) readBody() error {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	limit := x.view.Table.Limits.BodyBytes
	if limit <= 0 {
		limit = x.r.ContentLength + 1
	}
	if x.r.ContentLength > limit {
		return boragewick.NotRun(errors.Wrapf(boragewick.ErrTooLarge, "body of %d bytes", x.r.ContentLength))
	}
	if n := x.r.ContentLength; n > 0 {
		x.body = make([]byte, n)
		_, err := io.ReadFull(x.r.Body, x.body)
		return boragewick.NotRun(errors.Mark(errors.Wrap(err, "read body"), boragewick.ErrCanceled))
	}
	b, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return boragewick.NotRun(errors.Mark(err, boragewick.ErrTooLarge))
	}
	x.body = b
	return boragewick.NotRun(errors.Mark(errors.Wrap(err, "read body"), boragewick.ErrCanceled))
}

// reserve takes the request's tokens from its workspace's rate.
func (x *exchange) reserve(ctx context.Context) (boragewick.Reservation, error) {
	if x.tenant == nil || x.tenant.PerSecond == 0 || x.Limiter == nil {
		return unlimited{}, nil
	}
	until := x.Clock.Now().Add(min(rateWait, time.Until(x.deadline)))
	return x.Limiter.Reserve(ctx, boragewick.ID(x.tenant.Name), x.cost(), until)
}

// cost returns what the request takes from its workspace's rate.
func (x *exchange) cost() uint64 {
	switch {
	case !x.tenant.ByTokens:
		return 1
	case x.Counted:
		return uint64(x.PromptTokens + x.OutputTokens)
	default:
		return x.tenant.DefaultTokens
	}
}

// used returns what the request has taken for good.
func (x *exchange) used() uint64 {
	if x.tenant == nil || x.sent == 0 {
		return 0
	}
	return x.cost()
}

// unlimited is the reservation of a workspace without a rate.
type unlimited struct{}

func (unlimited) Settle(uint64) {}

// finish answers a request that failed before anything was written, and logs
// and counts how it ended.
func (x *exchange) finish(err error) {
	took := time.Since(x.started)
	status := http.StatusOK
	if err != nil {
		status = statusOf(err)
		if !x.committed && x.r.Context().Err() == nil {
			x.refuse(status, err)
		}
	}
	x.count(status, took)
	if err == nil && x.served.Add(1)%logEvery != 0 {
		return
	}
	logger, outcome := level.Info(x.Logger), "served"
	if err != nil {
		logger, outcome = level.Warn(x.Logger), string(boragewick.OutcomeOf(err))
	}
	_ = logger.Log(append(x.describe(), "status", status, "outcome", outcome, "took_ms", took.Milliseconds(), "err", err)...)
}

// describe returns the log line of the request without its outcome.
func (x *exchange) describe() []any {
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
	if x.tenant != nil {
		line = append(line, "workspace", x.tenant.Name, "cost", x.cost())
	}
	return append(line, "endpoint", x.endpoint, "sent", x.sent, "unsure", x.unsure, "patience_ms", x.Patience.Milliseconds())
}

// waited adds the time until the head of the answer to the metrics.
func (x *exchange) waited() {
	if x.Metrics != nil {
		metrics.GetOrRegisterTimer("requests.first_byte", x.Metrics).UpdateSince(x.started)
	}
}

// count adds the request to the metrics.
func (x *exchange) count(status int, took time.Duration) {
	if x.Metrics == nil {
		return
	}
	metrics.GetOrRegisterCounter("requests.status_"+strconv.Itoa(status), x.Metrics).Inc(1)
	if x.sent > 1 {
		metrics.GetOrRegisterCounter("requests.sent_again", x.Metrics).Inc(int64(x.sent - 1))
	}
	metrics.GetOrRegisterTimer("requests.took", x.Metrics).Update(took)
}
