package core

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

const (
	// joinEvery is how often a replica makes sure that it is in the group.
	joinEvery = 500 * time.Millisecond
	// keepEvery is how often the leader looks at the membership.
	keepEvery = 250 * time.Millisecond
	// replaceAfter is how long a voter is silent before another replica takes
	// its place; a restart or a short suspension is over by then.
	replaceAfter = 6 * time.Second
	// changeTimeout bounds one change of the membership.
	changeTimeout = 2 * time.Second
	// maxVoters is the most voters that the log allows.
	maxVoters = 5
)

// keepJoined asks the leader to let this replica in whenever it is not a member.
func (c *Core) keepJoined(ctx context.Context) {
	ticker := time.NewTicker(joinEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if c.Replica.Status().Leading {
			continue
		}
		c.askToJoin(ctx)
	}
}

// askToJoin asks the leader, or whichever replica knows it.
func (c *Core) askToJoin(ctx context.Context) {
	req := boragewick.JoinRequest{Member: c.Member()}
	if req.Member.Identity == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, addr := range c.others() {
		var resp empty
		err := boragewick.Call(ctx, c.Peers.Get(addr), boragewick.MethodJoin, req, &resp)
		if err == nil || ctx.Err() != nil {
			return
		}
		if !errors.IsAny(err, boragewick.ErrNotLeader, boragewick.ErrLinkLost, boragewick.ErrTimeout) {
			_ = level.Warn(c.Logger).Log("msg", "not let into the group", "by", addr, "err", err)
		}
	}
}

// others returns the other replicas, the one that leads first.
func (c *Core) others() []netip.AddrPort {
	leader := c.leaderAddr()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	var list []netip.AddrPort
	if leader.IsValid() && leader != c.Self {
		list = append(list, leader)
	}
	known := slices.Clone(c.Seeds)
	for addr := range c.remembered {
		known = append(known, addr)
	}
	for _, addr := range known {
		if addr != c.Self && !slices.Contains(list, addr) {
			list = append(list, addr)
		}
	}
	return list
}

// join lets a replica into the group. A replica whose disk is another one than
// the member's at its address takes that member's place.
func (c *Core) join(ctx context.Context, r boragewick.JoinRequest) (empty, error) {
	if c.Replica == nil || !c.Replica.Status().Leading {
		return empty{}, errors.Wrap(boragewick.ErrNotLeader, "only the leader lets replicas in")
	}
	addr, err := netip.ParseAddrPort(r.Member.Name)
	if err != nil {
		return empty{}, errors.Mark(err, boragewick.ErrBadName)
	}
	c.mu.Lock()
	c.init()
	c.heard[addr] = c.Clock.Now()
	c.mu.Unlock()
	known, ok := c.Replica.Status().Members.Find(r.Member.Name)
	if ok && known == r.Member {
		return empty{}, nil
	}
	if ok {
		err := c.Replica.Remove(ctx, r.Member.Name)
		c.logMembership("remove", r.Member.Name, "disk lost", err)
		if err != nil {
			return empty{}, err
		}
	}
	err = c.Replica.Add(ctx, r.Member.Name)
	c.logMembership("add", r.Member.Name, "asked to join", err)
	return empty{}, err
}

// keepMembers promotes learners and replaces voters that stay away, while this
// replica leads.
func (c *Core) keepMembers(ctx context.Context) {
	ticker := time.NewTicker(keepEvery)
	defer ticker.Stop()
	var since time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !c.Replica.Status().Leading {
			since = time.Time{}
			continue
		}
		now := c.Clock.Now()
		if since.IsZero() {
			since = now
		}
		c.keep(ctx, now, since)
	}
}

// keep makes at most one change of the membership.
func (c *Core) keep(ctx context.Context, now, leadingSince time.Time) {
	st := c.Replica.Status()
	wanted := min(2*c.Tolerate+1, maxVoters)
	silent := c.silent(now, leadingSince, st.Voters)
	spare := slices.DeleteFunc(slices.Clone(st.Learners), func(name string) bool {
		return slices.Contains(c.silent(now, leadingSince, st.Learners), name)
	})
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	switch {
	case len(st.Voters) < wanted && len(spare) > 0:
		err := c.Replica.Promote(ctx, spare[0])
		c.logMembership("promote", spare[0], "voters missing", err)
	case len(silent) > 0 && len(spare) > 0:
		err := c.Replica.Remove(ctx, silent[0])
		c.logMembership("remove", silent[0], "silent", err)
	}
}

// silent returns the replicas of which nothing was heard for long.
func (c *Core) silent(now, leadingSince time.Time, names []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	var list []string
	for _, name := range names {
		addr, err := netip.ParseAddrPort(name)
		if err != nil || addr == c.Self {
			continue
		}
		last := c.heard[addr]
		if last.Before(leadingSince) {
			last = leadingSince
		}
		if now.Sub(last) > replaceAfter {
			list = append(list, name)
		}
	}
	return list
}

// logMembership logs a change of the membership.
func (c *Core) logMembership(change, replica, reason string, err error) {
	if errors.Is(err, boragewick.ErrBadMembership) {
		_ = level.Debug(c.Logger).Log("msg", "membership", "change", change, "replica", replica, "reason", reason, "err", err)
		return
	}
	_ = level.Info(c.Logger).Log("msg", "membership", "change", change, "replica", replica, "reason", reason, "err", err)
}
