// Package agent implements the agent that runs next to one endpoint. It announces
// the endpoint to the control replicas, answers probes from routers, admits
// requests and forwards them to the endpoint.
package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/takes"
)

const (
	// renewInterval is the time between announcements.
	renewInterval = 2 * time.Second
	// announceTimeout bounds one announcement.
	announceTimeout = 2 * time.Second
)

// Agent serves routers on behalf of one endpoint.
type Agent struct {
	// Endpoint is what is announced; Run sets Leaving when it ends.
	Endpoint  boragewick.Endpoint
	Engine    boragewick.Engine
	Admission boragewick.Admission
	Cache     boragewick.PrefixCache
	// Orders executes the orders of the control leader; if nil, orders are refused.
	Orders boragewick.FencedTaker
	// LoadReporter returns the models that the engine has loaded; if nil, the
	// models from the settings are announced.
	LoadReporter boragewick.LoadReporter
	TakenClaims  *takes.AgentClaims
	Claims       boragewick.ClaimLog
	// Control connects to the leading control replica.
	Control boragewick.Peer
	Clock   boragewick.Clock
	Logger  log.Logger
	// DrainTimeout is how long Run waits for running requests when it ends.
	DrainTimeout time.Duration

	mu      sync.Mutex
	leaving bool
	running sync.WaitGroup
	// promptTokens and cachedTokens are the totals over all answers.
	promptTokens atomic.Uint64
	cachedTokens atomic.Uint64
	// loadedAt is when the engine last executed a load order.
	loadedAt time.Time
}

// Handle registers the methods that the agent serves.
func (a *Agent) Handle(register func(method string, h boragewick.Handler)) {
	register(boragewick.MethodDispatch, boragewick.HandlerFunc(a.dispatch))
	register(boragewick.MethodOrder, boragewick.Unary(a.order))
	register(boragewick.MethodProbe, boragewick.Unary(a.probe))
	register(boragewick.MethodRevoke, boragewick.Unary(a.revoke))
}

// Run announces the endpoint until ctx is done. It then refuses new requests,
// announces that the endpoint is leaving and waits for the running requests, up to
// DrainTimeout.
func (a *Agent) Run(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		a.announce(ctx)
		select {
		case <-ctx.Done():
			a.leave()
			return nil
		case <-ticker.C:
		}
	}
}

func (a *Agent) announce(ctx context.Context) {
	a.refreshModels(ctx)
	a.mu.Lock()
	e := a.Endpoint
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var lease boragewick.Lease
	err := boragewick.Call(ctx, a.Control, boragewick.MethodAnnounce, boragewick.Announcement{Endpoint: e, Load: a.load()}, &lease)
	if err != nil && ctx.Err() == nil {
		_ = level.Warn(a.Logger).Log("msg", "announcement failed", "err", err)
	}
	if err == nil && a.Orders != nil {
		a.Orders.SetNewestFencing(lease.Newest)
	}
}

// leave refuses new requests, announces that the endpoint is leaving and waits up
// to DrainTimeout for the running requests.
func (a *Agent) leave() {
	a.mu.Lock()
	a.leaving = true
	a.Endpoint.Leaving = true
	a.mu.Unlock()
	a.announce(context.Background())
	done := make(chan struct{})
	go func() {
		a.running.Wait()
		close(done)
	}()
	timer := time.NewTimer(a.DrainTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		_ = level.Warn(a.Logger).Log("msg", "requests still run at the end of the drain")
	}
}

// startRequest counts a request as running. It refuses the request if the agent is
// leaving, if the request is addressed to another run of the agent or if the
// endpoint does not serve its model.
func (a *Agent) startRequest(r *boragewick.Request) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return boragewick.NotRun(errors.Wrapf(boragewick.ErrDraining, "endpoint %s", a.Endpoint.Name))
	}
	if r.Target != a.Endpoint.Incarnation {
		return boragewick.NotRun(errors.Wrapf(boragewick.ErrFenced, "endpoint %s has restarted", a.Endpoint.Name))
	}
	route := boragewick.Route{Pool: r.Pool, Model: r.Model.Name, Weights: r.Model.Weights, Adapter: r.Model.Adapter}
	if !a.Endpoint.Serves(&route) {
		return boragewick.NotRun(errors.Wrapf(boragewick.ErrNoEndpoint, "endpoint %s does not serve %v", a.Endpoint.Name, r.Model))
	}
	a.running.Add(1)
	return nil
}

func (a *Agent) warn(msg string, request boragewick.RequestID, err error) {
	_ = level.Warn(a.Logger).Log("msg", msg, "request", request, "err", err)
}
