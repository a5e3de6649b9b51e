package quorum

import "github.com/boragewick/boragewick"

// publishStatus makes the state of the replica visible to Status and to probes.
func (l *loop) publishStatus() {
	members := l.core.Membership()
	l.status.Store(&boragewick.LogStatus{
		Replica:    l.cfg.Name,
		Leader:     l.core.Leader().Name,
		Leading:    l.core.Leading(),
		Term:       l.core.Term(),
		Applied:    l.applied.Index,
		Last:       l.core.LastRevision().Index,
		LeaseUntil: l.core.LeaseUntil(l.Clock.Now()),
		Voters:     names(members.Voters),
		Learners:   names(members.Learners),
		Members:    members,
	})
	l.nodeMetrics.term.Update(int64(l.core.Term()))
	l.nodeMetrics.applied.Update(int64(l.applied.Index))
	l.state.Store(&boragewick.ReplicaState{
		Member: l.core.Self(),
		Fresh:  l.core.Term() == 0 && l.core.LastRevision().Index == 0,
	})
}

func names(members []boragewick.Member) []string {
	var list []string
	for _, m := range members {
		list = append(list, m.Name)
	}
	return list
}
