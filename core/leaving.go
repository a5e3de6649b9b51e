package core

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

// leavingTTL is how long a replica counts as leaving after it has told so. One that is still there
// tells it again; one that has started again, or is silent, counts as that.
const leavingTTL = 10 * time.Second

// Leave has Run tell the other replicas that this one is about to stop, so that a learner votes in
// its place before it is gone. Without it, Run tells them once its context is done.
func (c *Core) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	if !c.leaving {
		c.leaving = true
		close(c.leaveCh)
	}
}

// announceStop waits for Leave, or until ctx is done, and tells the other replicas.
func (c *Core) announceStop(ctx context.Context) {
	c.mu.Lock()
	c.init()
	leave := c.leaveCh
	c.mu.Unlock()
	select {
	case <-leave:
	case <-ctx.Done():
	}
	if c.NoticeTime <= 0 {
		return
	}
	c.noteLeaving(c.Self)
	req := boragewick.JoinRequest{Member: c.Member(), Leaving: true}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.NoticeTime)
	defer cancel()
	var notices sync.WaitGroup
	defer notices.Wait()
	for _, addr := range c.otherReplicas() {
		notices.Go(func() {
			var resp empty
			if err := boragewick.Call(ctx, c.Peers.Get(addr), boragewick.MethodJoin, req, &resp); err != nil {
				_ = level.Info(c.Logger).Log("msg", "replica not told of the stop", "replica", addr, "err", err)
			}
		})
	}
}

// isLeaving reports whether this replica is about to stop.
func (c *Core) isLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving && c.NoticeTime > 0
}

// noteLeaving records that the replica is about to stop, and has the leader act on it.
func (c *Core) noteLeaving(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	now := c.Clock.Now()
	if now.After(c.leavingUntil[addr]) {
		_ = level.Info(c.Logger).Log("msg", "replica leaves", "replica", addr)
	}
	c.leavingUntil[addr] = now.Add(leavingTTL)
	select {
	case c.membershipWake <- struct{}{}:
	default: // the check that is due will see it
	}
}

// noteStaying records that the replica is not about to stop, as it has started again.
func (c *Core) noteStaying(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	delete(c.leavingUntil, addr)
}

// leavingOf returns the replicas of the list that are about to stop.
func (c *Core) leavingOf(now time.Time, names []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	var list []string
	for _, name := range names {
		addr, err := netip.ParseAddrPort(name)
		if until := c.leavingUntil[addr]; err == nil && now.Before(until) {
			list = append(list, name)
		}
	}
	return list
}
