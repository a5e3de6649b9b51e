package process

import (
	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/agents"
	"github.com/boragewick/boragewick/control"
	"github.com/boragewick/boragewick/disk"
	"github.com/boragewick/boragewick/ledger"
	"github.com/boragewick/boragewick/planner"
	"github.com/boragewick/boragewick/quorum"
	"github.com/boragewick/boragewick/state"
)

func (p *Process) buildControl() error {
	hasher, err := p.loadHasher()
	if err != nil {
		return err
	}
	dir, err := disk.OpenFolder(p.Settings.Instance.Data)
	if err != nil {
		return errors.Wrap(err, "[instance] data")
	}
	machine := &state.Machine{}
	voters := make([]string, len(p.Settings.Control.Replicas))
	for i, r := range p.Settings.Control.Replicas {
		voters[i] = r.Name
	}
	controlReplica := quorum.New(
		boragewick.ReplicaSettings{Name: p.Settings.Instance.Name, Voters: voters},
		disk.New(dir), machine, p.replica)
	controlReplica.Clock = p.Clock
	controlReplica.Logger = p.Logger
	c := &control.Control{
		Log:       controlReplica,
		Group:     controlReplica,
		State:     machine,
		Planner:   planner.Planner{HashKey: hasher.Hash, NewKey: boragewick.NewCallerKey},
		Clock:     p.Clock,
		Logger:    p.Logger,
		Leader:    p.leader,
		Rates:     ledger.New(p.Clock),
		Agents:    &agents.Pool{Dialer: &p.transport, Hello: p.hello},
		LoadLimit: p.Settings.Control.MaxLoads,
		LeaseFor:  p.Settings.Control.LeaseFor,
	}
	p.server.Handle(boragewick.MethodReplica, controlReplica)
	c.Handle(p.server.Handle)
	p.kernel.Register("control", c)
	p.kernel.Register("log", controlReplica)
	p.readyChecks = append(p.readyChecks, func() error { return checkLeader(c.Log) })
	return nil
}

// checkLeader returns an error while the replica group has no leader.
func checkLeader(l boragewick.Log) error {
	if l.Status().Leader == "" {
		return errors.Wrap(boragewick.ErrNotLeader, "the control replicas have no leader")
	}
	return nil
}

// replica returns the link to the named control replica.
func (p *Process) replica(name string) (boragewick.Peer, error) {
	for i, r := range p.Settings.Control.Replicas {
		if r.Name == name {
			return p.replicas[i], nil
		}
	}
	return nil, errors.Wrapf(boragewick.ErrBadSettings, "[control] replicas: no %s", name)
}
