// Package hosting runs router, control replica and agent as processes of a hosted
// deployment, in which control replicas discover each other from a few seed
// addresses and endpoints are called directly.
package hosting

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/boottime"
	"github.com/boragewick/boragewick/bytebudget"
	"github.com/boragewick/boragewick/core"
	"github.com/boragewick/boragewick/httpserver"
	"github.com/boragewick/boragewick/kernel"
	"github.com/boragewick/boragewick/linkserver"
	"github.com/boragewick/boragewick/mirror"
	"github.com/boragewick/boragewick/peers"
	"github.com/boragewick/boragewick/shutdown"
	"github.com/boragewick/boragewick/upstream"
	"github.com/boragewick/boragewick/ws"
)

const (
	// memoryLimitFraction is the fraction of the process's memory limit that is
	// the soft limit of the Go runtime, near which it collects garbage more often.
	memoryLimitFraction = 0.7
	// sweepInterval is how often expired idle connections to endpoints are closed.
	sweepInterval = time.Second
)

// Node is one process. Its fields are set before Build.
type Node struct {
	Settings boragewick.NodeSettings
	// NewAdministrator returns the handler of the API for operators and
	// endpoints.
	NewAdministrator func(a boragewick.Administration, knowsPool func(string) bool, logger log.Logger) http.Handler
	Decoder          boragewick.TableDecoder
	Dialect          boragewick.Dialect
	// NewLoader returns a Loader that sends orders to engines through the
	// client.
	NewLoader func(c *upstream.Client) boragewick.Loader
	// NewProbe returns an EngineProbe that reads the state of engines through
	// the client.
	NewProbe func(c *upstream.Client) boragewick.EngineProbe
	// NewMover returns a Mover that moves running requests between engines
	// through the client.
	NewMover func(c *upstream.Client) boragewick.Mover
	Logger   log.Logger
	// MetricsPort is the port of the metrics on the address of the process's
	// links; zero disables them.
	MetricsPort uint16
	// ZoneCost is what it costs that a request leaves the router's zone beyond the round
	// trip, as the time to the first token that is worth as much. If it is zero, it follows
	// from each route's target latency, and zones are considered in pools with learned
	// rates, or in all pools where Settings.HoldRequests is set.
	ZoneCost time.Duration
	// DisregardZones makes routers choose endpoints as if there were no zones.
	DisregardZones bool
	// HoldRequests makes routers hold and refuse requests while engines lack room, also where
	// Settings.HoldRequests is not set.
	HoldRequests bool
	// Bind is the address to listen on and to connect from when the addresses in
	// the settings are forwarded to another one. If it is invalid, the process
	// listens on the addresses in the settings.
	Bind netip.Addr

	kernel   kernel.Kernel
	metrics  metrics.Registry
	clock    boragewick.Clock
	hello    boragewick.Hello
	peers    *peers.Pool
	client   upstream.Client
	mirror   *mirror.Mirror
	memory   bytebudget.Budget
	core     *core.Core
	draining atomic.Bool
	shutdown shutdown.Policy
}

// Build creates the services. The error is ErrBadSettings or ErrStorage.
func (n *Node) Build() error {
	if n.Settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(n.Settings.MemoryBytes) * memoryLimitFraction))
	}
	n.metrics = metrics.NewRegistry()
	n.clock = boottime.Clock{}
	n.kernel.Logger = n.Logger
	n.hello = boragewick.Hello{
		Instance:    n.Settings.Name,
		Domain:      n.Settings.FailureDomain,
		Incarnation: boragewick.NewIncarnation(),
	}
	if n.Settings.Control {
		n.hello.Instance = n.Settings.LinkAddr.String()
	}
	n.peers = &peers.Pool{Dialer: &ws.Transport{InsecureOK: true, LocalAddr: n.Bind}, Hello: n.hello, OnLost: n.recordLostConn}
	n.client.LocalAddr = n.Bind
	if n.Settings.Callers {
		if err := n.buildRouter(); err != nil {
			return errors.Wrap(err, "router")
		}
	}
	if n.Settings.Control {
		if err := n.buildControl(); err != nil {
			return errors.Wrap(err, "control")
		}
	}
	if n.Settings.Agent {
		if err := n.buildAgent(); err != nil {
			return errors.Wrap(err, "agent")
		}
	}
	if n.MetricsPort > 0 {
		addr := netip.AddrPortFrom(n.Settings.LinkAddr.Addr(), n.MetricsPort)
		if err := n.serve("metrics", addr, &httpserver.Server{Handler: http.HandlerFunc(n.serveMetrics)}); err != nil {
			return err
		}
	}
	n.kernel.Register("connections", boragewick.ServiceFunc(n.sweep))
	return nil
}

// recordLostConn logs and counts a connection between processes that has ended while it was in
// use.
func (n *Node) recordLostConn(addr netip.AddrPort, err error) {
	metrics.GetOrRegisterCounter("links.lost", n.metrics).Inc(1)
	_ = level.Warn(n.Logger).Log("msg", "link connection lost", "remote", addr, "err", err)
}

// Run runs the services until ctx is done and they have drained.
func (n *Node) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		n.stopAccepting()
		if n.core != nil {
			n.core.Leave()
		}
		_ = level.Info(n.Logger).Log("msg", "stopping", "node", n.Settings.Name)
	})
	defer stop()
	_ = level.Info(n.Logger).Log("msg", "started", "node", n.Settings.Name, "callers", n.Settings.Callers,
		"control", n.Settings.Control, "first_start", n.Settings.FirstStart, "incarnation", n.hello.Incarnation)
	err := n.kernel.Run(ctx)
	_ = level.Info(n.Logger).Log("msg", "stopped", "node", n.Settings.Name, "err", err)
	return err
}

// Reload applies the seeds and the memory limit of the changed settings. The
// other settings take effect only when the process restarts.
func (n *Node) Reload(s boragewick.NodeSettings) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryLimitFraction))
		n.memory.SetMemory(s.MemoryBytes)
	}
	if n.mirror != nil {
		n.mirror.SetSeeds(s.Seeds)
	}
	if n.core != nil {
		n.core.SetSeeds(s.Seeds)
	}
	_ = level.Info(n.Logger).Log("msg", "reloaded", "node", n.Settings.Name, "seeds", len(s.Seeds), "memory_bytes", s.MemoryBytes)
}

// sweep closes expired idle connections to endpoints until ctx is done.
func (n *Node) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.client.CloseExpired()
		}
	}
}

// serve listens on the address and registers the HTTP server.
func (n *Node) serve(name string, addr netip.AddrPort, s *httpserver.Server) error {
	l, err := n.listen(addr)
	if err != nil {
		return errors.Mark(errors.Wrap(err, name), boragewick.ErrBadSettings)
	}
	s.Listener = l
	n.kernel.Register(name, s)
	return nil
}

// linkDrain is how long links stay open at shutdown for the last frames.
const linkDrain = 300 * time.Millisecond

// serveLinks listens on the address of the links and registers their server.
func (n *Node) serveLinks(links *linkserver.Server) error {
	l, err := n.listen(n.Settings.LinkAddr)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "links"), boragewick.ErrBadSettings)
	}
	mux := http.NewServeMux()
	mux.Handle(ws.Path, links)
	drain := n.lateDrain(linkDrain)
	h := &httpserver.Server{Listener: l, Handler: mux, NoReadTimeout: true, DrainTimeout: drain}
	n.kernel.Register("links", boragewick.ServiceFunc(func(ctx context.Context) error {
		return links.RunAndDrain(ctx, h, drain)
	}))
	return nil
}

// listen listens on the address, at the IP of Bind if that is set. TCP keep-alive
// detects dead connections.
func (n *Node) listen(addr netip.AddrPort) (net.Listener, error) {
	if n.Bind.IsValid() {
		addr = netip.AddrPortFrom(n.Bind, addr.Port())
	}
	cfg := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return cfg.Listen(context.Background(), "tcp4", addr.String())
}

// keepAliveIdle, keepAliveInterval and keepAliveCount are the TCP keep-alive settings
// of accepted connections.
const (
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)
