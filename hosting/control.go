package hosting

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/boottime"
	"github.com/boragewick/boragewick/core"
	"github.com/boragewick/boragewick/discovery"
	"github.com/boragewick/boragewick/disk"
	"github.com/boragewick/boragewick/enginefollow"
	"github.com/boragewick/boragewick/httpserver"
	"github.com/boragewick/boragewick/ledger"
	"github.com/boragewick/boragewick/linkserver"
	"github.com/boragewick/boragewick/quarantine"
	"github.com/boragewick/boragewick/quorum"
	"github.com/boragewick/boragewick/registry"
	"github.com/boragewick/boragewick/storewatch"
	"github.com/boragewick/boragewick/weights"
	"github.com/boragewick/boragewick/ws"
)

// electionTimeout and heartbeatInterval are those of the replicated log. A round
// trip between failure domains and a disk sync together take about 10 ms; even with
// a disk thirty times slower, a replica responds within the election timeout.
const (
	electionTimeout   = 500 * time.Millisecond
	heartbeatInterval = 60 * time.Millisecond
)

// handOverTime is how long a stopping leader may take to hand over: some round trips between
// failure domains and disk syncs.
const handOverTime = 200 * time.Millisecond

// noticeTime bounds the calls by which a control replica that is about to stop tells the others.
const noticeTime = 200 * time.Millisecond

// rateSlackDivisor divides the tokens by which a workspace may exceed its rate.
// One part is granted on top of each burst, and one at each change of the rate
// owner. Two such changes within one window thus stay within the limit.
const rateSlackDivisor = 3

// defaultRateOverage and defaultRateWindow are those of the deployments whose settings state
// the slack alone.
const (
	defaultRateOverage = 0.1
	defaultRateWindow  = 8 * time.Second
)

// controlDrain is how long requests in progress may run on when a control process
// stops.
const controlDrain = time.Second

// initialIdentityPrefix begins the disk identity of an initial voter. All initial
// voters must know each other's identities before any of them starts, so an
// identity is the prefix with the voter's address. The address also makes the
// identities differ, as they seed the random election timeouts. A replica that has
// lost its disk gets a random identity.
const initialIdentityPrefix = "founder "

// buildControl sets up the control replica and the servers for operators,
// endpoints and other processes.
func (n *Node) buildControl() error {
	reg := &registry.Registry{Clock: n.clock, StartedAt: n.clock.Now()}
	directory := &discovery.Directory{Clock: n.clock, Heartbeat: n.Settings.Heartbeat}
	rates := ledger.New(n.clock)
	rates.Headroom = n.Settings.RateSlack / rateSlackDivisor
	rates.Overage, rates.Window = rateOverrun(&n.Settings)
	c := &core.Core{
		Self:         n.Settings.LinkAddr,
		Incarnation:  n.hello.Incarnation,
		Seeds:        n.Settings.Seeds,
		TolerateLost: n.Settings.TolerateLost,
		CatchUp:      n.Settings.CatchUp,
		NoticeTime:   noticeTime,
		Registry:     reg,
		Directory:    directory,
		Decoder:      n.Decoder,
		Peers:        n.peers,
		Rates:        rates,
		BurstSlack:   n.Settings.RateSlack / rateSlackDivisor,
		Quarantine:   &quarantine.Detector{Clock: n.clock},
		Clock:        n.clock,
		Logger:       n.Logger,
	}
	links := &linkserver.Server{Hello: n.hello, Transport: ws.Transport{InsecureOK: true}, Logger: n.Logger}
	table := &newestTable{reg: reg, decoder: n.Decoder, logger: n.Logger}
	c.KnowsPool = table.knowsPool
	links.Handle(boragewick.MethodStore, &storewatch.Server{Probe: n.NewProbe(&n.client), Stores: table.stores, Logger: n.Logger})
	admin := n.NewAdministrator(c, table.knowsPool, n.Logger)
	if err := n.serve("operators", n.Settings.OperatorAddr, &httpserver.Server{Handler: admin, DrainTimeout: n.lateDrain(controlDrain)}); err != nil {
		return err
	}
	var replica *quorum.Node
	if n.Settings.DataDir != "" {
		var err error
		if replica, err = n.buildReplica(c, links, reg, directory); err != nil {
			return err
		}
	}
	n.core = c
	metrics.NewRegisteredFunctionalGauge("endpoints.known", n.metrics, func() int64 { return int64(len(directory.Endpoints())) })
	c.Metrics = n.metrics
	c.Handle(links.Handle)
	n.kernel.Register("core", c)
	if replica != nil {
		n.kernel.Register("log", replica) // stops after the users of its lease
	}
	return n.serveLinks(links)
}

// buildReplica sets up the replicated log and the weight upgrades, which the
// leader runs.
func (n *Node) buildReplica(c *core.Core, links *linkserver.Server, reg *registry.Registry, directory *discovery.Directory) (*quorum.Node, error) {
	folder, err := disk.OpenFolder(n.Settings.DataDir)
	if err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	boot, err := boottime.Clock{}.Boot()
	if err != nil {
		_ = level.Warn(n.Logger).Log("msg", "ages of weights don't outlast a restart", "err", err)
	} else {
		reg.Boot = n.Settings.LinkAddr.String() + " " + boot
	}
	store := disk.New(folder)
	cfg := boragewick.ReplicaSettings{Name: n.Settings.LinkAddr.String(), NoLease: true, ElectionTimeout: electionTimeout, Heartbeat: heartbeatInterval}
	if n.Settings.FirstStart && slices.Contains(n.Settings.Seeds, n.Settings.LinkAddr) {
		store.FirstIdentity = initialVoter(n.Settings.LinkAddr).Identity
		cfg.InitialVoters = initialVoters(n.Settings.Seeds)
	}
	replica := quorum.New(cfg, store, reg, n.peers.Named)
	replica.Clock = n.clock
	replica.Logger = n.Logger
	replica.Metrics = n.metrics
	replica.HandOverTime = n.lateDrain(handOverTime)
	c.Replica = replica
	c.Member = replica.Member
	links.Handle(boragewick.MethodReplica, replica)
	upgrader := &weights.Upgrader{
		Holder:        n.Settings.Name,
		Log:           replica,
		Registry:      reg,
		Directory:     directory,
		Loader:        n.NewLoader(&n.client),
		SendDirective: c.SendDirective,
		Clock:         n.clock,
		Logger:        n.Logger,
		OrderLease:    n.Settings.OrderLease,
		Metrics:       n.metrics,
	}
	n.followOrders(upgrader)
	n.kernel.Register("weights", upgrader)
	return replica, nil
}

// followOrders sets up the service by which the upgrader follows the agents of engines while
// there are upgrades to do.
func (n *Node) followOrders(u *weights.Upgrader) {
	f := &enginefollow.Follower{
		Instance:   n.Settings.Name,
		Port:       n.Settings.AgentPort,
		Peers:      n.peers,
		OnUpdate:   u.ObserveEngine,
		OrdersOnly: true,
		Logger:     n.Logger,
	}
	u.Agents = f
	n.kernel.Register("agents", f)
}

// rateOverrun returns the fraction of its rate and burst by which a workspace may exceed
// them, and the window over which this is checked; zero without a slack.
func rateOverrun(s *boragewick.NodeSettings) (overage float64, window time.Duration) {
	switch {
	case s.RateSlack == 0:
		return 0, 0
	case s.RateWindow <= 0:
		return defaultRateOverage, defaultRateWindow
	default:
		return s.RateOverage, s.RateWindow
	}
}

// initialVoters returns the initial voters, in the same order on every replica.
func initialVoters(seeds []netip.AddrPort) []boragewick.Member {
	list := slices.Clone(seeds)
	slices.SortFunc(list, netip.AddrPort.Compare)
	var members []boragewick.Member
	for _, addr := range list {
		members = append(members, initialVoter(addr))
	}
	return members
}

// initialVoter returns the initial voter at the address.
func initialVoter(addr netip.AddrPort) boragewick.Member {
	name := addr.String()
	return boragewick.Member{Name: name, Identity: boragewick.Identity(initialIdentityPrefix + name)}
}
