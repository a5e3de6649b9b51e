package hosting

import (
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/allowance"
	"github.com/boragewick/boragewick/crashreport"
	"github.com/boragewick/boragewick/ejector"
	"github.com/boragewick/boragewick/enginefollow"
	"github.com/boragewick/boragewick/gateway"
	"github.com/boragewick/boragewick/headroom"
	"github.com/boragewick/boragewick/httpserver"
	"github.com/boragewick/boragewick/mirror"
	"github.com/boragewick/boragewick/origins"
	"github.com/boragewick/boragewick/pause"
	"github.com/boragewick/boragewick/placement"
	"github.com/boragewick/boragewick/retry"
	"github.com/boragewick/boragewick/storefollow"
	"github.com/boragewick/boragewick/zonespill"
)

const (
	// unreadTimeout is how long a caller whose route is not known yet may read nothing of a
	// response. It is the shortest that a route can have.
	unreadTimeout = 2 * time.Second
	// minRetryShares is the least number of parts into which the deployment's retry
	// burst and refill are divided among the routers.
	minRetryShares = 24
	// retryRefillPerSecond is the number of retries a second that all routers
	// together gain without any requests.
	retryRefillPerSecond = 4.8
	// retryFractionShare is the share of the deployment's retry fraction that
	// routers use. The rest leaves room for requests that no router counts.
	retryFractionShare = 0.6
)

// buildRouter sets up the services that serve callers.
func (n *Node) buildRouter() error {
	pauses := &pause.Monitor{Clock: n.clock, Logger: n.Logger}
	basePlacer := &placement.Placement{Clock: n.clock, Pauses: pauses, Zones: n.newZonePolicy(), Logger: n.Logger, Metrics: n.metrics}
	room := &headroom.Headroom{Clock: n.clock, Logger: n.Logger, Metrics: n.metrics}
	engineFollower := n.newEngineFollower(basePlacer, room)
	endpointPlacer := &placer{Ejector: ejector.Ejector{Selector: basePlacer, Clock: n.clock}, basePlacer: basePlacer, engineFollower: engineFollower}
	budget := &retry.Budget{Fraction: n.Settings.RetryFraction * retryFractionShare}
	shareRetries(budget, n.Settings.RetryBurst, 0)
	m := &mirror.Mirror{
		Instance:   n.Settings.Name,
		Seeds:      n.Settings.Seeds,
		Decoder:    n.Decoder,
		Peers:      n.peers,
		Clock:      n.clock,
		Logger:     n.Logger,
		Observer:   endpointPlacer,
		OrderLease: n.Settings.OrderLease,
		Pauses:     pauses,
		OnRouterCount: func(routers int) {
			shareRetries(budget, n.Settings.RetryBurst, routers)
			basePlacer.SetRouterCount(routers)
			room.SetRouterCount(routers)
		},
	}
	n.mirror = m
	n.countEndpoints()
	crashes := n.newCrashReporter(m)
	streamOrigins := n.newOriginTracker(m)
	rates := allowance.New(m, n.Settings.Name, n.hello.Incarnation, n.clock)
	rates.View, rates.Logger, rates.Metrics = m, n.Logger, n.metrics
	limits := allowance.New(m, n.Settings.Name, n.hello.Incarnation, n.clock)
	n.boundMemory()
	g := &gateway.Gateway{
		Dialect:            n.Dialect,
		View:               m.View,
		ViewCurrent:        m.Connected,
		Placer:             endpointPlacer,
		Observer:           endpointPlacer,
		Client:             &n.client,
		Mover:              n.NewMover(&n.client),
		Limiter:            rates,
		EndpointLimits:     limits,
		Memory:             &n.memory,
		Clock:              n.clock,
		RetryBudget:        budget,
		Parts:              m,
		Crashes:            crashes,
		Origins:            streamOrigins,
		WeightsGracePeriod: n.Settings.WeightsGracePeriod,
		CloseConnections:   n.draining.Load,
		Draining:           n.drainPolicy(),
		Logger:             n.Logger,
		Metrics:            n.metrics,
	}
	if n.HoldRequests || n.Settings.HoldRequests {
		g.Headroom = room
		n.kernel.Register("headroom", room) // stops first, so that a draining router holds nothing
	}
	if err := n.serveCallers(g); err != nil {
		return err
	}
	n.kernel.Register("crashes", crashes)
	n.kernel.Register("origins", streamOrigins)
	n.kernel.Register("rates", rates)
	n.kernel.Register("limits", limits)
	n.kernel.Register("pauses", pauses)
	n.kernel.Register("mirror", m)
	n.kernel.Register("engines", engineFollower)
	n.kernel.Register("stores", n.newStoreFollower(m, basePlacer))
	return nil
}

// newStoreFollower returns the service that passes on what stores keep.
func (n *Node) newStoreFollower(m *mirror.Mirror, p *placement.Placement) *storefollow.Follower {
	return &storefollow.Follower{
		Instance: n.Settings.Name,
		Peers:    n.peers,
		Stores:   m.Stores,
		Replicas: m.Replicas,
		OnUpdate: p.ObserveStore,
		Logger:   n.Logger,
	}
}

// countEndpoints registers the metrics of the mirror's endpoints.
func (n *Node) countEndpoints() {
	metrics.NewRegisteredFunctionalGauge("endpoints.usable", n.metrics, func() int64 { return int64(n.mirror.Usable()) })
	metrics.NewRegisteredFunctionalGauge("endpoints.out_of_service", n.metrics, func() int64 { return int64(n.mirror.OutOfService()) })
}

// newZonePolicy returns the policy by which requests leave the router's zone; nil if zones
// are not considered.
func (n *Node) newZonePolicy() boragewick.ZonePolicy {
	if n.DisregardZones {
		return nil
	}
	if n.Settings.FailureDomain == "" {
		_ = level.Warn(n.Logger).Log("msg", "zones are not considered, as the settings name no zone", "node", n.Settings.Name)
		return nil
	}
	return &zonespill.Policy{
		Zone: n.Settings.FailureDomain, Cost: n.ZoneCost, AllPools: n.Settings.HoldRequests,
		Logger: n.Logger, Metrics: n.metrics,
	}
}

// boundMemory bounds the bytes that are held for callers and endpoints.
func (n *Node) boundMemory() {
	n.memory.Clock = n.clock
	n.memory.SetMemory(n.Settings.MemoryBytes)
	metrics.NewRegisteredFunctionalGauge("memory.held_bytes", n.metrics, n.memory.Held)
	metrics.NewRegisteredFunctionalGauge("memory.promised_bytes", n.metrics, n.memory.Promised)
}

// newEngineFollower returns the service that passes on what the agents of engines report.
func (n *Node) newEngineFollower(p *placement.Placement, room *headroom.Headroom) *enginefollow.Follower {
	return &enginefollow.Follower{
		Instance: n.Settings.Name,
		Port:     n.Settings.AgentPort,
		Peers:    n.peers,
		OnUpdate: func(endpoint string, u *boragewick.EngineUpdate) {
			p.ObserveEngine(endpoint, u)
			n.mirror.ObserveEngine(endpoint, u)
			room.EnginesChanged()
		},
		Logger: n.Logger,
	}
}

// newCrashReporter returns the service that reports crashed endpoints to the replicas
// that the mirror knows.
func (n *Node) newCrashReporter(m *mirror.Mirror) *crashreport.Reporter {
	return &crashreport.Reporter{
		Instance: n.Settings.Name,
		Replicas: m.Replicas,
		Peer:     n.peers.Get,
		Connect:  n.client.Connect,
		Clock:    n.clock,
		Logger:   n.Logger,
		Metrics:  n.metrics,
	}
}

// newOriginTracker returns the service that tells the replicas that the mirror knows where
// streams began.
func (n *Node) newOriginTracker(m *mirror.Mirror) *origins.Tracker {
	return &origins.Tracker{
		Instance: n.Settings.Name,
		Builds:   m.Builds,
		Replicas: m.Replicas,
		Peer:     n.peers.Get,
		Clock:    n.clock,
		Logger:   n.Logger,
		Metrics:  n.metrics,
	}
}

// serveCallers registers the servers for callers and for the check of readiness.
func (n *Node) serveCallers(h http.Handler) error {
	if err := n.serve("callers", n.Settings.CallerAddr, n.callerServer(h)); err != nil {
		return err
	}
	return n.serve("readiness", n.Settings.ReadinessAddr, &httpserver.Server{Handler: http.HandlerFunc(n.serveReadiness)})
}

// shareRetries gives this router its part of the deployment's retries, of which all
// routers together must not make more.
func shareRetries(b *retry.Budget, burst float64, routers int) {
	parts := float64(max(minRetryShares, routers))
	b.SetBurst(burst/parts, retryRefillPerSecond/parts)
}

// placer chooses among the endpoints that are not ejected for failures. It records
// requests in progress in basePlacer and passes endpoint changes on to the
// engine follower.
type placer struct {
	ejector.Ejector
	basePlacer     *placement.Placement
	engineFollower *enginefollow.Follower
}

// Update implements boragewick.EndpointObserver.
func (p *placer) Update(changes ...boragewick.EndpointChange) {
	p.Ejector.Update(changes...)
	p.engineFollower.Update(changes...)
}

// Begin implements boragewick.Placer.
func (p *placer) Begin(c *boragewick.Candidate, s *boragewick.Selection) boragewick.Flight {
	return p.basePlacer.Begin(c, s)
}

// Defer implements boragewick.Placer.
func (p *placer) Defer(c *boragewick.Candidate, until time.Time) { p.basePlacer.Defer(c, until) }
