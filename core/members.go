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
	// joinInterval is how often a replica that does not lead asks to join.
	joinInterval = 500 * time.Millisecond
	// membershipInterval is how often the leader checks the membership.
	membershipInterval = 250 * time.Millisecond
	// replaceAfter is how long a voter may be silent before it is replaced by
	// another replica; a restart or a short suspension takes less.
	replaceAfter = 6 * time.Second
	// changeTimeout bounds one membership change.
	changeTimeout = 2 * time.Second
	// maxVoters is the largest number of voters that the log allows.
	maxVoters = 5
)

// sendJoinRequests asks the leader to add this replica, as long as it does not
// lead itself. For a member with an unchanged disk, the leader only records when it
// last heard from the replica.
func (c *Core) sendJoinRequests(ctx context.Context) {
	ticker := time.NewTicker(joinInterval)
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
		c.requestJoin(ctx)
	}
}

// requestJoin sends a join request to the other replicas in turn, the leader
// first, until one accepts it.
func (c *Core) requestJoin(ctx context.Context) {
	req := boragewick.JoinRequest{Member: c.Member()}
	if req.Member.Identity == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, addr := range c.otherReplicas() {
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

// otherReplicas returns the known replicas but this one, the leader first.
func (c *Core) otherReplicas() []netip.AddrPort {
	leader := c.leaderAddr()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	var list []netip.AddrPort
	if leader.IsValid() && leader != c.Self {
		list = append(list, leader)
	}
	known := slices.Clone(c.Seeds)
	for addr := range c.knownReplicas {
		known = append(known, addr)
	}
	for _, addr := range known {
		if addr != c.Self && !slices.Contains(list, addr) {
			list = append(list, addr)
		}
	}
	return list
}

// join adds a replica to the group. A member at the same address with another
// disk is removed first.
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
	c.lastHeard[addr] = c.Clock.Now()
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

// maintainMembership promotes learners and replaces silent voters while this
// replica leads.
func (c *Core) maintainMembership(ctx context.Context) {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	var leadingSince time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !c.Replica.Status().Leading {
			leadingSince = time.Time{}
			continue
		}
		now := c.Clock.Now()
		if leadingSince.IsZero() {
			leadingSince = now
		}
		c.adjustMembership(ctx, now, leadingSince)
	}
}

// adjustMembership makes at most one membership change.
func (c *Core) adjustMembership(ctx context.Context, now, leadingSince time.Time) {
	st := c.Replica.Status()
	wanted := min(2*c.TolerateLost+1, maxVoters)
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

// silent returns the replicas that have not been heard from for longer than
// replaceAfter. Silence counts only from when this replica began to lead.
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
		last := c.lastHeard[addr]
		if last.Before(leadingSince) {
			last = leadingSince
		}
		if now.Sub(last) > replaceAfter {
			list = append(list, name)
		}
	}
	return list
}

// logMembership logs a membership change. One that is not allowed is logged at
// debug level only.
func (c *Core) logMembership(change, replica, reason string, err error) {
	if errors.Is(err, boragewick.ErrBadMembership) {
		_ = level.Debug(c.Logger).Log("msg", "membership", "change", change, "replica", replica, "reason", reason, "err", err)
		return
	}
	_ = level.Info(c.Logger).Log("msg", "membership", "change", change, "replica", replica, "reason", reason, "err", err)
}
