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
	// defaultCatchUp is CatchUp where the settings don't state it.
	defaultCatchUp = 12 * time.Second
	// catchUpDivisor is the part of CatchUp for which a voter may be silent before it is replaced
	// by another replica, if there is one to spare. The rest of the time is for the election of a
	// leader, if it was the leader, and for the changes. A restart takes less.
	catchUpDivisor = 2
	// forgetAfter is how long a learner may be silent before it is removed. It may come back and
	// ask to join again.
	forgetAfter = time.Minute
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
	req := boragewick.JoinRequest{Member: c.Member(), Leaving: c.isLeaving()}
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
	addr, err := netip.ParseAddrPort(r.Member.Name)
	if err != nil {
		return empty{}, errors.Mark(err, boragewick.ErrBadName)
	}
	if c.Replica == nil {
		return empty{}, errors.Wrap(boragewick.ErrNotLeader, "no disk")
	}
	if r.Leaving {
		if c.Replica.Status().Members.IsMember(r.Member) {
			c.noteLeaving(addr)
		}
		return empty{}, nil
	}
	if !c.Replica.Status().Leading {
		return empty{}, errors.Wrap(boragewick.ErrNotLeader, "only the leader lets replicas in")
	}
	c.noteStaying(addr)
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

// maintainMembership promotes learners and replaces voters that leave or are silent while this
// replica leads.
func (c *Core) maintainMembership(ctx context.Context) {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	c.mu.Lock()
	c.init()
	wake := c.membershipWake
	c.mu.Unlock()
	var leadingSince time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wake:
		}
		if !c.Replica.Status().Leading {
			leadingSince = time.Time{}
			continue
		}
		now := c.Clock.Now()
		if leadingSince.IsZero() {
			leadingSince = now
		}
		for c.adjustMembership(ctx, now, leadingSince) {
			now = c.Clock.Now()
		}
	}
}

// adjustMembership makes at most one membership change, and reports whether it did.
func (c *Core) adjustMembership(ctx context.Context, now, leadingSince time.Time) bool {
	change := c.nextChange(now, leadingSince)
	if change == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err := change.make(ctx, change.replica)
	c.logMembership(change.name, change.replica, change.reason, err)
	return err == nil
}

// membershipChange is a change of the group.
type membershipChange struct {
	make                  func(ctx context.Context, replica string) error
	name, replica, reason string
}

// nextChange returns the next change of the group that is needed; nil without one. A voter that
// leaves is still there, so its successor is promoted first and the group never has less voters
// than it wants. One that is silent counts against each majority and is removed first.
func (c *Core) nextChange(now, leadingSince time.Time) *membershipChange {
	st := c.Replica.Status()
	wanted := min(2*c.TolerateLost+1, maxVoters)
	silent := c.silent(now, leadingSince, st.Voters, c.replaceAfter())
	isSilent := func(name string) bool { return slices.Contains(silent, name) }
	leaving := slices.DeleteFunc(c.leavingOf(now, st.Voters), isSilent)
	unfit := append(c.silent(now, leadingSince, st.Learners, c.replaceAfter()), c.leavingOf(now, st.Learners)...)
	spare := slices.DeleteFunc(slices.Clone(st.Learners), func(name string) bool { return slices.Contains(unfit, name) })
	// A leader can't demote itself; its successor does.
	demotable := slices.DeleteFunc(slices.Clone(leaving), func(name string) bool { return name == c.Self.String() })
	lost := c.silent(now, leadingSince, st.Learners, forgetAfter)
	switch {
	case len(st.Voters) < wanted && len(spare) > 0:
		return &membershipChange{c.Replica.Promote, "promote", spare[0], "voters missing"}
	case len(silent) > 0 && (len(spare) > 0 || len(st.Voters) > wanted):
		return &membershipChange{c.Replica.Remove, "remove", silent[0], "silent"}
	case len(leaving) > 0 && len(spare) > 0 && len(st.Voters)-len(leaving) < wanted && len(st.Voters) < maxVoters:
		return &membershipChange{c.Replica.Promote, "promote", spare[0], "voter leaves"}
	case len(demotable) > 0 && (len(spare) > 0 || len(st.Voters) > wanted):
		return &membershipChange{c.Replica.Demote, "demote", demotable[0], "leaves"}
	case len(lost) > 0:
		return &membershipChange{c.Replica.Remove, "remove", lost[0], "silent learner"}
	}
	return nil
}

// replaceAfter returns how long a voter may be silent before it is replaced.
func (c *Core) replaceAfter() time.Duration {
	if c.CatchUp > 0 {
		return c.CatchUp / catchUpDivisor
	}
	return defaultCatchUp / catchUpDivisor
}

// silent returns the replicas that have not been heard from for longer than the given time.
// Silence counts only from when this replica began to lead.
func (c *Core) silent(now, leadingSince time.Time, names []string, allowed time.Duration) []string {
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
		if now.Sub(last) > allowed {
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
