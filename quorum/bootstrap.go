package quorum

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

// bootstrap forms the group if there is none yet. Each initial voter stores the
// same first membership. Without initial voters, the first of the configured
// voters forms the group, at once if it is the only voter.
func (l *loop) bootstrap(ctx context.Context) error {
	if slices.Contains(l.cfg.InitialVoters, l.core.Self()) {
		return l.createGroup(boragewick.Membership{Voters: l.cfg.InitialVoters})
	}
	voters := l.cfg.Voters
	if !l.state.Load().Fresh || len(voters) == 0 || voters[0] != l.cfg.Name {
		return nil
	}
	if len(voters) == 1 {
		return l.createGroup(boragewick.Membership{Voters: []boragewick.Member{l.core.Self()}})
	}
	go l.collectVoters(ctx, l.core.Self())
	return nil
}

// collectVoters asks the other voters for their identities and, once all have
// answered that they belong to no group, passes the first membership to the loop.
func (n *Node) collectVoters(ctx context.Context, self boragewick.Member) {
	members := boragewick.Membership{Voters: []boragewick.Member{self}}
	for _, name := range n.cfg.Voters[1:] {
		state, err := n.probeUntilAnswered(ctx, name)
		if err != nil {
			return
		}
		if !state.Fresh {
			_ = level.Warn(n.Logger).Log("msg", "group exists already; this replica must be added to it",
				"replica", n.cfg.Name, "member", name)
			return
		}
		members.Voters = append(members.Voters, state.Member)
	}
	select {
	case n.firstMembership <- members:
	case <-ctx.Done():
	}
}

// probeUntilAnswered probes the replica until it answers or ctx is done.
func (n *Node) probeUntilAnswered(ctx context.Context, name string) (boragewick.ReplicaState, error) {
	retry := time.NewTicker(n.cfg.Heartbeat)
	defer retry.Stop()
	for {
		state, err := n.probe(ctx, name)
		if err == nil {
			return state, nil
		}
		select {
		case <-retry.C:
		case <-ctx.Done():
			return state, ctx.Err()
		}
	}
}

// probe asks the replica for its state within the election timeout.
func (n *Node) probe(ctx context.Context, name string) (boragewick.ReplicaState, error) {
	var state boragewick.ReplicaState
	if n.peers == nil {
		return state, errors.Wrapf(boragewick.ErrLinkLost, "no link to %s", name)
	}
	peer, err := n.peers(name)
	if err != nil {
		return state, err
	}
	ctx, cancel := context.WithTimeout(ctx, n.cfg.ElectionTimeout)
	defer cancel()
	hello := &boragewick.ReplicaHello{From: boragewick.Member{Name: n.cfg.Name}, Probe: true}
	if err := boragewick.Call(ctx, peer, boragewick.MethodReplica, hello, &state); err != nil {
		return state, errors.Wrapf(err, "probe %s", name)
	}
	if state.Member.Name != name {
		return state, errors.Wrapf(boragewick.ErrProtocol, "%s answers as %s", name, state.Member.Name)
	}
	return state, nil
}

// createGroup stores the first membership as the first log entry, unless this
// replica already belongs to a group.
func (l *loop) createGroup(members boragewick.Membership) error {
	if !l.state.Load().Fresh {
		return nil
	}
	first := boragewick.LogEntry{
		Revision:   boragewick.Revision{Index: 1},
		Kind:       boragewick.EntryMembership,
		Membership: &members,
	}
	stored := boragewick.StoredLog{
		Identity: l.core.Self().Identity,
		Entries:  []boragewick.LogEntry{first},
	}
	if err := l.storage.Save(nil, stored.Entries); err != nil {
		return err
	}
	core, err := l.newCore(&stored)
	if err != nil {
		return err
	}
	l.core = core
	return nil
}
