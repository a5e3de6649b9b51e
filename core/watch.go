package core

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

const (
	// gossipInterval is how often heartbeats are passed on between replicas, and
	// the pause before a failed watch stream is reopened.
	gossipInterval = 300 * time.Millisecond
	// keepaliveInterval is the longest time between two updates to a watcher, so
	// that a longer silence means that the link is dead.
	keepaliveInterval = time.Second
	// watchTimeout is how long a replica waits for an update from another one.
	watchTimeout = 2500 * time.Millisecond
	// namingRepeatTime is for how long after its naming a version of weights is part of
	// every update.
	namingRepeatTime = 20 * time.Second
	// peerScanInterval is how often the known replicas are checked for those not
	// watched yet.
	peerScanInterval = 200 * time.Millisecond
)

// cursor records what a watcher has been sent.
type cursor struct {
	boragewick.WatchRequest
	changes   uint64
	refreshes uint64
	// departures is the number of the last departure, missing that of the last missing endpoint.
	departures, missing uint64
	// nextDepartures is when more of many departures may be sent.
	nextDepartures time.Time
	// registry is the registry's count of changes.
	registry  uint64
	namings   []boragewick.WeightsNaming
	namingsAt time.Time
	directive *boragewick.Directive
	replicas  []netip.AddrPort
	routers   []uint64
	suspects  []uint64
	// nextSuspects is when other suspects may be sent.
	nextSuspects time.Time
}

// serveWatch streams this replica's state and its changes to a watcher.
func (c *Core) serveWatch(ctx context.Context, s boragewick.Stream) error {
	var sent cursor
	if err := s.Recv(ctx, &sent.WatchRequest); err != nil {
		return err
	}
	sent.departures = sent.Departures
	c.markHeard(ctx)
	if c.Replica == nil {
		return c.redirect(ctx, s)
	}
	c.Registry.MergeAges(sent.Namings, sent.Now)
	if !sent.Heartbeats && !sent.GroupOnly {
		c.routers.add(sent.Instance)
		defer c.routers.remove(sent.Instance)
	}
	for {
		u, wait := c.nextUpdate(&sent)
		if err := s.Send(ctx, &u); err != nil {
			return err
		}
		if err := wait(ctx); err != nil {
			return err
		}
	}
}

// redirect tells a watcher which replicas it may watch in place of this process,
// which holds nothing of their state.
func (c *Core) redirect(ctx context.Context, s boragewick.Stream) error {
	c.mu.Lock()
	u := boragewick.WatchUpdate{Redirect: true, Replicas: slices.Clone(c.listed)}
	c.mu.Unlock()
	if err := s.Send(ctx, &u); err != nil {
		return err
	}
	return errors.Wrap(boragewick.ErrUnknownService, "no disk")
}

// nextUpdate returns what the watcher has not been sent yet, and a function that
// waits until the next update is due.
func (c *Core) nextUpdate(sent *cursor) (boragewick.WatchUpdate, func(context.Context) error) {
	if sent.GroupOnly {
		return c.nextGroupUpdate(sent)
	}
	var u boragewick.WatchUpdate
	state, published := c.Registry.State()
	if p := state.Publication; p.Version > sent.Version && !sent.Heartbeats {
		if sent.FetchesDocuments {
			u.Published = p.Version
		} else {
			u.Publication = &p
		}
		sent.Version = p.Version
	}
	c.addRegistry(&u, sent, &state)
	suspected, pause := c.addSuspects(&u, sent)
	batch, endpoints := c.Directory.Changes(sent.changes)
	switch {
	case sent.Heartbeats:
		batch = c.Directory.Refreshes(sent.refreshes)
		endpoints = nil
	case !c.hasAppliedLog():
		// Some of the endpoints may have departed by the log.
		batch = boragewick.RegistrationUpdate{Revision: sent.changes, Refreshed: sent.refreshes}
		endpoints = nil
	}
	u.Registrations = batch.Registrations
	sent.changes, sent.refreshes = batch.Revision, batch.Refreshed
	if !sent.Heartbeats && c.addDepartures(&u, sent) {
		pause = min(pause, departurePause)
	}
	if !sent.Heartbeats {
		c.addMissing(&u, sent)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	if c.directive != nil && c.directive != sent.directive {
		u.Directive = c.directive
		sent.directive = c.directive
	}
	c.addGroup(&u, sent)
	if sent.Heartbeats {
		pause = gossipInterval
		if routers := c.routers.list(); !slices.Equal(routers, sent.routers) {
			u.Routers = routers
			sent.routers = routers
		}
	} else {
		u.RouterCount = c.routers.count()
	}
	changed := c.changed
	if batch.More {
		return u, func(context.Context) error { return nil }
	}
	return u, func(ctx context.Context) error {
		timer := time.NewTimer(pause)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-published:
		case <-endpoints:
		case <-suspected:
		case <-changed:
		case <-timer.C:
		}
		return nil
	}
}

// addRegistry adds the parts in quarantine and the named versions of weights if they
// have changed, and the ages of the versions. The ages of recent versions are repeated,
// because versions appear younger when an update is delayed on its way. Other replicas
// get only the ages; the rest is in their log.
func (c *Core) addRegistry(u *boragewick.WatchUpdate, sent *cursor, state *boragewick.RegistryState) {
	namings, now := c.Registry.Namings()
	known := slices.Equal(namings, sent.namings)
	if state.Changed == sent.registry && known && now.Before(sent.namingsAt.Add(keepaliveInterval)) {
		return
	}
	if state.Changed != sent.registry && !sent.Heartbeats {
		u.Weights = state.Weights
		u.Quarantined = c.activeParts(state)
		u.Builds, u.BuildsAfter = state.Builds, state.Changed
	}
	sent.registry, sent.namingsAt = state.Changed, now
	if known {
		namings = slices.DeleteFunc(namings, func(n boragewick.WeightsNaming) bool { return now.Sub(n.At) > namingRepeatTime })
	} else {
		sent.namings = slices.Clone(namings)
	}
	if len(namings) > 0 {
		u.Namings, u.Now = namings, now
	}
}

// hasAppliedLog reports whether this replica has applied its log since its start.
func (c *Core) hasAppliedLog() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.logApplied {
		c.noteLogApplied(c.Replica.Status())
	}
	return c.logApplied
}

// nextGroupUpdate returns the group, and a function that waits until it changes.
func (c *Core) nextGroupUpdate(sent *cursor) (boragewick.WatchUpdate, func(context.Context) error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	var u boragewick.WatchUpdate
	c.addGroup(&u, sent)
	changed := c.changed
	return u, func(ctx context.Context) error {
		timer := time.NewTimer(keepaliveInterval)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-timer.C:
		}
		return nil
	}
}

// addGroup adds the leader, and the replicas if the watcher does not know them yet;
// the caller holds mu.
func (c *Core) addGroup(u *boragewick.WatchUpdate, sent *cursor) {
	if replicas := c.replicas(); !slices.Equal(replicas, sent.replicas) {
		u.Replicas = replicas
		sent.replicas = replicas
	}
	u.Leader = c.leader
}

// replicas returns the replicas that routers may watch: the members or, without
// any, those that another replica has listed, or the seeds. The caller holds mu.
func (c *Core) replicas() []netip.AddrPort {
	list := c.members()
	if len(list) == 0 {
		list = append(list, c.listed...)
	}
	if len(list) == 0 {
		list = append(list, c.Seeds...)
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return slices.Compact(list)
}

// markHeard records that the replica which opened the stream is alive.
func (c *Core) markHeard(ctx context.Context) {
	hello, ok := boragewick.RemoteHello(ctx)
	if !ok {
		return
	}
	if addr, err := netip.ParseAddrPort(hello.Instance); err == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.init()
		c.lastHeard[addr] = c.Clock.Now()
	}
}

// watchReplicas watches every other known replica.
func (c *Core) watchReplicas(ctx context.Context, tasks *sync.WaitGroup) {
	ticker := time.NewTicker(peerScanInterval)
	defer ticker.Stop()
	for {
		for _, addr := range c.markWatched() {
			tasks.Go(func() { c.watchReplica(ctx, addr) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// markWatched returns the replicas that are not watched yet, and marks them as
// watched.
func (c *Core) markWatched() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	var list []netip.AddrPort
	known := slices.Concat(c.members(), c.Seeds)
	for addr := range c.knownReplicas {
		known = append(known, addr)
	}
	for _, addr := range known {
		if addr != c.Self && !c.watched[addr] {
			c.watched[addr] = true
			list = append(list, addr)
		}
	}
	return list
}

// watchReplica merges the updates of another replica and reopens the stream
// after each failure.
func (c *Core) watchReplica(ctx context.Context, addr netip.AddrPort) {
	for ctx.Err() == nil {
		c.followUntilLost(ctx, addr, &boragewick.WatchRequest{Instance: c.Self.String(), Heartbeats: true})
		select {
		case <-ctx.Done():
		case <-time.After(gossipInterval):
		}
	}
}

// followUntilLost merges the updates of one stream until it ends, and logs its first
// update and its end.
func (c *Core) followUntilLost(ctx context.Context, addr netip.AddrPort, req *boragewick.WatchRequest) {
	received := false
	err := c.watchStream(ctx, addr, req, func() {
		if !received {
			_ = level.Info(c.Logger).Log("msg", "replica regained", "replica", addr)
		}
		received = true
	})
	c.routers.setRemote(addr, nil)
	if received {
		_ = level.Warn(c.Logger).Log("msg", "replica lost", "replica", addr, "err", err)
	}
}

// watchStream opens one stream and merges its updates until it ends or no update
// arrives within watchTimeout.
func (c *Core) watchStream(ctx context.Context, addr netip.AddrPort, req *boragewick.WatchRequest, onUpdate func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(watchTimeout, cancel)
	defer timeout.Stop()
	s, err := c.Peers.Get(addr).Open(ctx, boragewick.MethodWatch, req)
	if err != nil {
		return err
	}
	for {
		var u boragewick.WatchUpdate
		if err := s.Recv(ctx, &u); err != nil {
			return err
		}
		if u.Redirect {
			c.addKnownReplicas(u.Replicas)
			return errors.Wrap(boragewick.ErrUnknownService, "not a replica")
		}
		timeout.Reset(watchTimeout)
		onUpdate()
		c.merge(addr, &u)
	}
}

// merge applies an update from another replica.
func (c *Core) merge(addr netip.AddrPort, u *boragewick.WatchUpdate) {
	for i := range u.Registrations {
		c.markDeparted(&u.Registrations[i])
		c.Directory.Merge(u.Registrations[i])
	}
	c.Registry.MergeNamings(u.Namings, u.Now)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	c.lastHeard[addr] = c.Clock.Now()
	c.addReplicas(u.Replicas)
	if len(u.Routers) > 0 {
		c.routers.setRemote(addr, u.Routers)
	}
	if u.Directive != nil && u.Directive.Supersedes(c.directive) {
		c.directive = u.Directive
		c.wake()
	}
	if c.Replica == nil && u.Leader.IsValid() {
		c.leader = u.Leader
	}
}

// addKnownReplicas adds replicas that a process without a disk has listed.
func (c *Core) addKnownReplicas(list []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	c.addReplicas(list)
}

// addReplicas adds replicas that another process has listed; the caller holds mu.
func (c *Core) addReplicas(list []netip.AddrPort) {
	for _, addr := range list {
		c.knownReplicas[addr] = true
	}
	if len(list) > 0 {
		c.listed = list
	}
}

// SendDirective sends the directive to all watchers if it supersedes the
// current one.
func (c *Core) SendDirective(d *boragewick.Directive) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	if d.Supersedes(c.directive) {
		c.directive = d
		c.wake()
	}
}
