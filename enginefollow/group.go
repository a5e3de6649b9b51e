package enginefollow

import (
	"cmp"
	"context"
	"maps"
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"github.com/zeebo/xxh3"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/updates"
)

const (
	// minRelayed is the number of engines from which on agents relay for each other.
	minRelayed = 40
	// failureBackoff is how long an agent whose stream has ended does not relay while
	// others are left.
	failureBackoff = 3 * time.Second
	// settleTime is how long a new stream may take until an engine that it does not
	// mention counts as lost.
	settleTime = 1500 * time.Millisecond
)

// member is an engine of a group.
type member struct {
	name string
	addr netip.AddrPort
}

// group is a set of engines whose updates one of their agents relays.
type group struct {
	members []member
	cancel  context.CancelFunc
}

// groupCount returns the number of groups for n engines: a power of two near the
// square root of n, so that few changes of n change the groups.
func groupCount(n int) int {
	return 1 << (bits.Len(uint(n)) / 2)
}

// subscribeGroups follows all engines in n groups, or none of them if n is 0. A group
// whose members have changed gets a new stream; the old one ends once the new one has
// brought updates. The caller holds mu.
func (f *Follower) subscribeGroups(n int) {
	lists := map[int][]member{}
	if n > 0 {
		for name, addr := range f.engines {
			i := int(xxh3.HashString(name) % uint64(n))
			lists[i] = append(lists[i], member{name, addr})
		}
	}
	for i, old := range f.groups {
		if _, ok := lists[i]; !ok {
			old.cancel()
			delete(f.groups, i)
		}
	}
	for i, list := range lists {
		slices.SortFunc(list, func(a, b member) int { return cmp.Compare(a.name, b.name) })
		old := f.groups[i]
		if old != nil && slices.Equal(old.members, list) {
			continue
		}
		f.groups[i] = f.startGroup(list, old)
	}
}

// startGroup follows the engines in a new goroutine; the caller holds mu.
func (f *Follower) startGroup(list []member, old *group) *group {
	ctx, cancel := context.WithCancel(f.ctx)
	endOld := func() {}
	if old != nil {
		endOld = old.cancel
	}
	f.wg.Go(func() {
		defer endOld()
		f.followGroup(ctx, list, endOld)
	})
	return &group{members: list, cancel: cancel}
}

// followGroup receives the updates of the engines from one of their agents, and from
// another one after each failure, until ctx is done. onUpdate is called with the first
// update.
func (f *Follower) followGroup(ctx context.Context, list []member, onUpdate func()) {
	agents := make([]netip.AddrPort, len(list))
	for i, m := range list {
		agents[i] = m.addr
	}
	for ctx.Err() == nil {
		relay, failed := f.selectRelay(agents)
		received := f.followRelay(ctx, relay, list, agents, onUpdate)
		if ctx.Err() != nil {
			return
		}
		if received {
			for _, m := range list {
				f.OnUpdate(m.name, nil)
			}
		}
		f.mu.Lock()
		f.failedAt[relay] = time.Now()
		f.mu.Unlock()
		if !failed {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// selectRelay returns the agent that is to relay, and whether its last stream has
// failed recently, as those of all others have. All routers choose the same agent
// unless they have seen different failures.
func (f *Follower) selectRelay(agents []netip.AddrPort) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(f.failedAt, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) >= failureBackoff })
	failed := func(a netip.AddrPort) bool { return !f.failedAt[a].IsZero() }
	best := slices.MinFunc(agents, func(a, b netip.AddrPort) int {
		if failed(a) && failed(b) {
			return f.failedAt[a].Compare(f.failedAt[b])
		}
		if failed(a) != failed(b) {
			if failed(a) {
				return 1
			}
			return -1
		}
		return cmp.Compare(xxh3.HashString(a.String()), xxh3.HashString(b.String()))
	})
	return best, failed(best)
}

// followRelay applies the updates of one stream until it ends, and reports whether
// there were any.
func (f *Follower) followRelay(ctx context.Context, relay netip.AddrPort, list []member, agents []netip.AddrPort, onUpdate func()) bool {
	known := make([]bool, len(list))
	var settleAt time.Time
	settled := false
	stream := updates.Stream[boragewick.EnginesUpdate]{
		Peer:    f.Peers.Get(relay),
		Method:  boragewick.MethodEngines,
		Request: &boragewick.EnginesRequest{Instance: f.Instance, Agents: agents, OrdersOnly: f.OrdersOnly},
		OnUpdate: func(u *boragewick.EnginesUpdate) {
			now := time.Now()
			if settleAt.IsZero() {
				settleAt = now.Add(settleTime)
				onUpdate()
			}
			for i := range u.Engines {
				f.apply(&u.Engines[i], list, known)
			}
			if !settled && settleAt.Before(now) {
				settled = true
				for i, m := range list {
					if !known[i] {
						f.OnUpdate(m.name, nil)
					}
				}
			}
		},
	}
	received, err := stream.Run(ctx)
	if ctx.Err() == nil {
		_ = level.Info(f.Logger).Log("msg", "relaying agent lost", "agent", relay, "engines", len(list), "received", received, "err", err)
	}
	return received
}

// apply passes on the update of one engine. The first one of a stream replaces all
// that was known of the engine.
func (f *Follower) apply(e *boragewick.IndexedEngineUpdate, list []member, known []bool) {
	if e.Agent < 0 || e.Agent >= len(list) {
		_ = level.Warn(f.Logger).Log("msg", "update of an unknown agent", "index", e.Agent)
		return
	}
	name := list[e.Agent].name
	if e.Lost {
		known[e.Agent] = false
		f.OnUpdate(name, nil)
		return
	}
	e.Update.Reset = e.Update.Reset || !known[e.Agent]
	known[e.Agent] = true
	f.OnUpdate(name, &e.Update)
}
