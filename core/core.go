// Package core implements a control process. Control replicas discover each
// other and form a group that commits published configurations and named
// weights to a replicated log, exchanges the heartbeats of endpoints by gossip
// and streams all of it to routers.
package core

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/discovery"
	"github.com/boragewick/boragewick/ledger"
	"github.com/boragewick/boragewick/originstore"
	"github.com/boragewick/boragewick/peers"
	"github.com/boragewick/boragewick/quarantine"
	"github.com/boragewick/boragewick/registry"
)

const (
	// callTimeout bounds one call to the leader, and one round of join requests.
	callTimeout = 700 * time.Millisecond
	// retryPause is the pause between two attempts to call the leader.
	retryPause = 50 * time.Millisecond
	// sweepInterval is how often the directory is swept for silent endpoints and
	// the group is checked for a new leader or new members.
	sweepInterval = 200 * time.Millisecond
	// maxNamedModels is the number of models with named weights from which on only those of
	// the published configuration are added. All watchers receive all of them.
	maxNamedModels = 256
)

// Replica is the replicated log with its membership. A process without a disk
// has none.
type Replica interface {
	boragewick.Log
	boragewick.Group
}

// Core is one control process. Its fields are set before Run.
type Core struct {
	// Self is the link address of this process, and its replica's name.
	Self netip.AddrPort
	// Incarnation is the run of this process.
	Incarnation boragewick.Incarnation
	// Member returns this replica's name and the identity of its disk.
	Member func() boragewick.Member
	// Seeds are the link addresses of the replicas in the settings.
	Seeds []netip.AddrPort
	// TolerateLost is the number of replicas that may be lost at once.
	TolerateLost int
	// CatchUp is that of boragewick.NodeSettings.
	CatchUp time.Duration
	// NoticeTime bounds the calls by which the other replicas are told that this one is about to
	// stop; zero means that they aren't.
	NoticeTime time.Duration
	Replica    Replica
	Registry   *registry.Registry
	Directory  *discovery.Directory
	Decoder    boragewick.TableDecoder
	Peers      *peers.Pool
	// KnowsPool reports whether a pool may exist; nil means that any may.
	KnowsPool func(name string) bool
	// Rates is used while this replica leads.
	Rates *ledger.Ledger
	// BurstSlack is the number of tokens that are granted beyond each workspace's
	// burst, so that tokens held unused by some routers do not cause others to
	// refuse requests.
	BurstSlack uint64
	// Quarantine collects the crashes that routers report. It may be nil.
	Quarantine *quarantine.Detector
	Clock      boragewick.Clock
	Logger     log.Logger
	Metrics    metrics.Registry

	origins  originstore.Store
	document packedDocument

	ratesMu   sync.Mutex
	ownsRates bool
	// ratesEnded is set when Run ends.
	ratesEnded   bool
	ratesVersion uint64

	mu        sync.Mutex
	lastHeard map[netip.AddrPort]time.Time
	// leavingUntil holds the replicas that have told that they are about to stop, and until when
	// that counts.
	leavingUntil map[netip.AddrPort]time.Time
	// leaving is set, and leaveCh closed, once this replica is about to stop.
	leaving bool
	leaveCh chan struct{}
	// membershipWake has the leader check the membership.
	membershipWake chan struct{}
	watched        map[netip.AddrPort]bool
	// knownReplicas are all replicas that have ever been members or been listed
	// by another replica.
	knownReplicas map[netip.AddrPort]bool
	directive     *boragewick.Directive
	// quarantineEnds holds when each active quarantine ends; it is replaced and not changed.
	quarantineEnds map[uint64]time.Time
	leader         netip.AddrPort
	// logApplied is set once this replica has applied all of its log.
	logApplied bool
	changed    chan struct{}
	// listed are the replicas that the last replica heard from has listed.
	listed []netip.AddrPort
	// routers are the routers that watch this process, and those that watch others.
	routers routerSet
	// forwardTo is the replica that accepted the last forwarded registration.
	forwardTo netip.AddrPort
}

var _ boragewick.Administration = (*Core)(nil)

// Handle registers the link methods that other processes may call.
func (c *Core) Handle(handle func(method string, h boragewick.Handler)) {
	handle(boragewick.MethodWatch, boragewick.HandlerFunc(c.serveWatch))
	handle(boragewick.MethodDocument, boragewick.HandlerFunc(c.serveDocument))
	handle(boragewick.MethodGrant, boragewick.Unary(c.grant))
	handle(boragewick.MethodJoin, boragewick.Unary(c.join))
	handle(boragewick.MethodPublish, boragewick.Unary(c.commitPublication))
	handle(boragewick.MethodPublished, boragewick.Unary(c.readPublication))
	handle(boragewick.MethodWeights, boragewick.Unary(c.commitWeights))
	handle(boragewick.MethodRegister, boragewick.Unary(c.register))
	handle(boragewick.MethodDeregister, boragewick.Unary(c.deregister))
	handle(boragewick.MethodDeparture, boragewick.Unary(c.learnDeparture))
	handle(boragewick.MethodDepart, boragewick.Unary(c.commitDeparture))
	handle(boragewick.MethodHeld, boragewick.Unary(c.learnHeld))
	handle(boragewick.MethodCrashes, boragewick.Unary(c.reportCrashes))
	handle(boragewick.MethodOrigins, boragewick.Unary(c.reportOrigins))
	handle(boragewick.MethodOrigin, boragewick.Unary(c.findOrigin))
}

// Run maintains the group's membership, sweeps the directory and watches the
// other replicas until ctx is done. A process without a disk only follows a few
// replicas.
func (c *Core) Run(ctx context.Context) error {
	defer c.endRates()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	if c.Replica != nil {
		tasks.Go(func() { c.sendJoinRequests(ctx) })
		tasks.Go(func() { c.announceStop(ctx) })
		tasks.Go(func() { c.maintainMembership(ctx) })
		tasks.Go(func() { c.watchReplicas(ctx, &tasks) })
		tasks.Go(func() { c.maintainQuarantine(ctx) })
		tasks.Go(func() { c.maintainBuilds(ctx) })
	} else {
		c.followReplicas(ctx, &tasks)
	}
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	var departures uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.Directory.Sweep()
			departures = c.applyDepartures(departures)
			c.Registry.SettleAges()
			c.observeGroup()
		}
	}
}

// everySweep calls the function every sweepInterval until ctx is done.
func everySweep(ctx context.Context, sweep func(context.Context)) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			sweep(ctx)
		}
	}
}

// SetSeeds replaces the replicas that are listed in the settings.
func (c *Core) SetSeeds(seeds []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Seeds = seeds
}

// Publish implements boragewick.Administration.
func (c *Core) Publish(ctx context.Context, p boragewick.Publication) error {
	table, err := c.Decoder.DecodeTable(p.Document)
	if err != nil {
		return err
	}
	if err := table.Check(); err != nil {
		return err
	}
	p.Version = table.Version
	_, err = callLeaderWithRetry(ctx, c, boragewick.MethodPublish, p, c.commitPublication)
	_ = level.Info(c.Logger).Log("msg", "publication", "version", p.Version, "bytes", len(p.Document), "err", err)
	return err
}

// Published implements boragewick.Administration.
func (c *Core) Published(ctx context.Context) (boragewick.Publication, error) {
	return callLeaderWithRetry(ctx, c, boragewick.MethodPublished, empty{}, c.readPublication)
}

// NameWeights implements boragewick.Administration.
func (c *Core) NameWeights(ctx context.Context, n boragewick.NamedWeights) error {
	_, err := callLeaderWithRetry(ctx, c, boragewick.MethodWeights, n, c.commitWeights)
	_ = level.Info(c.Logger).Log("msg", "weights named", "model", n.Model, "version", n.Version, "err", err)
	return err
}

// empty is a message without content.
type empty struct{}

// commitPublication commits the publication if this replica leads.
func (c *Core) commitPublication(ctx context.Context, p boragewick.Publication) (empty, error) {
	return empty{}, c.propose(ctx, boragewick.RegistryCommand{Publish: &p})
}

// commitWeights commits the named version if this replica leads.
func (c *Core) commitWeights(ctx context.Context, n boragewick.NamedWeights) (empty, error) {
	if err := c.checkModel(n.Model); err != nil {
		return empty{}, err
	}
	return empty{}, c.propose(ctx, boragewick.RegistryCommand{Weights: &n, NamedAt: c.Registry.Stamp()})
}

// checkModel returns ErrTooLarge if weights of too many models are named.
func (c *Core) checkModel(model string) error {
	state, _ := c.Registry.State()
	if _, known := state.Weights[model]; known || len(state.Weights) < maxNamedModels {
		return nil
	}
	table, err := c.Decoder.DecodeTable(state.Publication.Document)
	if err == nil {
		for i := range table.Pools {
			if e := table.Pools[i].Engine; e != nil && slices.Contains(e.Models, model) {
				return nil
			}
		}
	}
	return errors.Wrapf(errors.CombineErrors(boragewick.ErrTooLarge, err), "weights of %d models are named", len(state.Weights))
}

// propose commits the command to the log. A command that a newer version has
// superseded is committed too, so that its acknowledgement confirms the state
// in force as reliably as a read.
func (c *Core) propose(ctx context.Context, command boragewick.RegistryCommand) error {
	if c.Replica == nil {
		return errors.Wrap(boragewick.ErrNotLeader, "no disk")
	}
	b, err := boragewick.Encode(&command)
	if err != nil {
		return err
	}
	_, err = c.Replica.Propose(ctx, b)
	return err
}

// readPublication returns the publication in force if this replica leads.
func (c *Core) readPublication(ctx context.Context, _ empty) (boragewick.Publication, error) {
	if c.Replica == nil {
		return boragewick.Publication{}, errors.Wrap(boragewick.ErrNotLeader, "no disk")
	}
	if err := c.Replica.Barrier(ctx); err != nil {
		return boragewick.Publication{}, err
	}
	state, _ := c.Registry.State()
	return state.Publication, nil
}

// callLeaderWithRetry runs the call locally when this replica leads and
// otherwise on the leader. It retries until the call succeeds, fails
// permanently or ctx is done.
func callLeaderWithRetry[Req, Resp any](ctx context.Context, c *Core, method string, req Req, local func(context.Context, Req) (Resp, error)) (Resp, error) {
	for {
		resp, err := callLeaderOnce(ctx, c, method, req, local)
		if err == nil || errors.IsAny(err, boragewick.ErrBadTable, boragewick.ErrTooLarge) {
			return resp, err
		}
		select {
		case <-ctx.Done():
			return resp, errors.Wrapf(err, "no leader in time")
		case <-time.After(retryPause):
		}
	}
}

// callLeaderOnce makes one attempt, bounded by callTimeout.
func callLeaderOnce[Req, Resp any](ctx context.Context, c *Core, method string, req Req, local func(context.Context, Req) (Resp, error)) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	leader := c.leaderAddr()
	if leader == c.Self {
		return local(ctx, req)
	}
	var resp Resp
	if !leader.IsValid() {
		return resp, errors.Wrap(boragewick.ErrNotLeader, "no leader known")
	}
	err := boragewick.Call(ctx, c.Peers.Get(leader), method, req, &resp)
	return resp, err
}

// leaderAddr returns the link address of the leader as far as this process
// knows it; invalid without one.
func (c *Core) leaderAddr() netip.AddrPort {
	if c.Replica != nil {
		if addr, err := netip.ParseAddrPort(c.Replica.Status().Leader); err == nil {
			return addr
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == c.Self {
		return netip.AddrPort{}
	}
	return c.leader
}

// observeGroup records the leader and new members, and wakes the watchers when
// there are any changes.
func (c *Core) observeGroup() {
	if c.Replica == nil {
		return
	}
	st := c.Replica.Status()
	leader, err := netip.ParseAddrPort(st.Leader)
	if err != nil && st.Leader != "" {
		_ = level.Error(c.Logger).Log("msg", "leader is no address", "leader", st.Leader, "err", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	newMember := false
	for _, addr := range c.members() {
		if !c.knownReplicas[addr] {
			c.knownReplicas[addr] = true
			newMember = true
		}
	}
	if c.noteLogApplied(st) {
		c.wake()
	}
	if leader != c.leader || newMember {
		_ = level.Info(c.Logger).Log("msg", "group", "leader", st.Leader, "term", st.Term, "applied", st.Applied,
			"voters", len(st.Voters), "learners", len(st.Learners))
		c.leader = leader
		c.wake()
	}
}

// noteLogApplied records whether this replica has applied its log since its start, and
// reports whether that is new; the caller holds mu.
func (c *Core) noteLogApplied(st boragewick.LogStatus) bool {
	if c.logApplied || st.Last == 0 || st.Applied < st.Last {
		return false
	}
	c.logApplied = true
	return true
}

// members returns the link addresses of the voters and learners.
func (c *Core) members() []netip.AddrPort {
	var list []netip.AddrPort
	if c.Replica == nil {
		return nil
	}
	st := c.Replica.Status()
	for _, names := range [][]string{st.Voters, st.Learners} {
		for _, name := range names {
			if addr, err := netip.ParseAddrPort(name); err == nil {
				list = append(list, addr)
			}
		}
	}
	return list
}

// init creates the maps and the channel on first use; the caller holds mu.
func (c *Core) init() {
	if c.lastHeard != nil {
		return
	}
	c.lastHeard = map[netip.AddrPort]time.Time{}
	c.leavingUntil = map[netip.AddrPort]time.Time{}
	c.leaveCh = make(chan struct{})
	c.membershipWake = make(chan struct{}, 1)
	c.watched = map[netip.AddrPort]bool{}
	c.knownReplicas = map[netip.AddrPort]bool{}
	c.changed = make(chan struct{})
}

// wake notifies the watchers of a change; the caller holds mu.
func (c *Core) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}
