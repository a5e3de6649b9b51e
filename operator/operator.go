// Package operator serves the administration API to operators over HTTP.
package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/burn"
	"github.com/boragewick/boragewick/intent"
	"github.com/boragewick/boragewick/trace"
)

const (
	maxIntentBytes = 1 << 20
	// callTimeout bounds one call to control.
	callTimeout = 10 * time.Second
)

// API serves the administration API. Every path under /api requires an
// operator's token.
type API struct {
	// Control calls the control replica that is the leader.
	Control boragewick.Peer
	Tokens  Tokens
	Metrics metrics.Registry
	Meter   *burn.Meter
	Traces  *trace.Ring
	// SortObjective is the objective by which burn reports are sorted.
	SortObjective boragewick.Objective
	Logger        log.Logger
	// Ready returns nil once the instance is ready to serve.
	Ready func() error
}

// Handler returns the API's handler.
func (o *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", o.ready)
	mux.HandleFunc("GET /metrics", o.metrics)
	mux.Handle("POST /api/plans", o.authenticated(o.plan))
	mux.Handle("GET /api/plans/{id}", o.authenticated(o.showPlan))
	mux.Handle("POST /api/plans/{id}/confirm", o.authenticated(o.confirm))
	mux.Handle("GET /api/objects/{kind}", o.authenticated(o.get))
	mux.Handle("GET /api/requests/{id}", o.authenticated(o.explain))
	mux.Handle("GET /api/burn", o.authenticated(o.burn))
	mux.Handle("POST /api/control/{replica}/{action}", o.authenticated(o.changeMembership))
	mux.Handle("GET /api/status", o.authenticated(o.status))
	return mux
}

// apiHandler handles one call by the named operator and returns the reply, which
// is encoded as JSON.
type apiHandler func(ctx context.Context, name string, r *http.Request) (any, error)

func (o *API) authenticated(f apiHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, err := o.Tokens.Authenticate(r.Header.Get("Authorization"))
		if err != nil {
			o.writeFault(w, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		reply, err := f(ctx, name, r)
		if err != nil {
			o.writeFault(w, err)
			return
		}
		writeJSON(w, http.StatusOK, reply)
	})
}

func (o *API) plan(ctx context.Context, name string, r *http.Request) (any, error) {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxIntentBytes+1))
	if err != nil {
		return nil, errors.Wrapf(boragewick.ErrBadIntent, "%s", err)
	}
	in, err := intent.Parse(text)
	if err != nil {
		return nil, err
	}
	var reply boragewick.PlanReply
	err = boragewick.Call(ctx, o.Control, boragewick.MethodPlan, boragewick.PlanRequest{Intent: in, Operator: name}, &reply)
	return reply, err
}

func (o *API) showPlan(ctx context.Context, _ string, r *http.Request) (any, error) {
	var reply boragewick.Plan
	err := boragewick.Call(ctx, o.Control, boragewick.MethodShow, boragewick.ID(r.PathValue("id")), &reply)
	return reply, err
}

func (o *API) confirm(ctx context.Context, name string, r *http.Request) (any, error) {
	var d boragewick.Decision
	c := boragewick.Confirm{Plan: boragewick.ID(r.PathValue("id")), Operator: name}
	if err := boragewick.Call(ctx, o.Control, boragewick.MethodConfirm, c, &d); err != nil {
		return nil, err
	}
	if d.Fault != nil {
		return nil, d.Fault.Err()
	}
	return d, nil
}

func (o *API) get(ctx context.Context, _ string, r *http.Request) (any, error) {
	var reply boragewick.GetReply
	q := boragewick.GetRequest{Kind: boragewick.Kind(r.PathValue("kind")), Ref: r.URL.Query().Get("ref")}
	if !slices.Contains(boragewick.Kinds, q.Kind) {
		return nil, errors.Wrapf(boragewick.ErrBadName, "%q is no kind; want one of %v", q.Kind, boragewick.Kinds)
	}
	err := boragewick.Call(ctx, o.Control, boragewick.MethodGet, q, &reply)
	return reply, err
}

func (o *API) status(ctx context.Context, _ string, _ *http.Request) (any, error) {
	var reply boragewick.StatusReply
	err := boragewick.Call(ctx, o.Control, boragewick.MethodStatus, struct{}{}, &reply)
	return reply, err
}

func (o *API) changeMembership(ctx context.Context, name string, r *http.Request) (any, error) {
	var reply boragewick.LogStatus
	q := boragewick.MemberRequest{
		Action:   boragewick.MemberAction(r.PathValue("action")),
		Replica:  r.PathValue("replica"),
		Operator: name,
	}
	err := boragewick.Call(ctx, o.Control, boragewick.MethodMember, q, &reply)
	return reply, err
}

// burn returns the router's service-level counts, which can be merged with those
// of other routers.
func (o *API) burn(context.Context, string, *http.Request) (any, error) {
	counts, err := o.Meter.Encode()
	return boragewick.BurnReply{Counts: counts, Objectives: o.Meter.Objectives, First: o.SortObjective}, err
}

func (o *API) explain(_ context.Context, _ string, r *http.Request) (any, error) {
	return o.Traces.Find(boragewick.RequestID(r.PathValue("id")))
}

func (o *API) ready(w http.ResponseWriter, _ *http.Request) {
	if err := o.Ready(); err != nil {
		o.writeFault(w, err)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (o *API) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(o.Metrics, w)
}

func (o *API) writeFault(w http.ResponseWriter, err error) {
	f := boragewick.FaultOf(err)
	_ = level.Info(o.Logger).Log("msg", "operator call failed", "code", f.Code, "err", err)
	writeJSON(w, statusOf(err), f)
}

// statusOf returns the HTTP status for the error.
func statusOf(err error) int {
	switch {
	case errors.Is(err, boragewick.ErrUnauthenticated):
		return http.StatusUnauthorized
	case errors.IsAny(err, boragewick.ErrUnknownObject, boragewick.ErrUnknownPlan):
		return http.StatusNotFound
	case errors.IsAny(err, boragewick.ErrBadIntent, boragewick.ErrBadName, boragewick.ErrMalformed):
		return http.StatusBadRequest
	case errors.IsAny(err, boragewick.ErrNameTaken, boragewick.ErrObjectInUse, boragewick.ErrPlanStale,
		boragewick.ErrPlanExpired, boragewick.ErrPlanDecided, boragewick.ErrBadMembership):
		return http.StatusConflict
	case errors.IsAny(err, boragewick.ErrTimeout, boragewick.ErrNotLeader, boragewick.ErrLinkLost, boragewick.ErrStaleConfig):
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}
