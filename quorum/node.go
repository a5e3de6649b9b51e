// Package quorum runs one control replica: it drives the consensus, the storage
// and the state machine from one goroutine and serves proposals and reads.
package quorum

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
)

const (
	// messageQueueSize and requestQueueSize are the capacities of the loop's
	// queues.
	messageQueueSize = 256
	requestQueueSize = 1024
)

// Node is one control replica. It implements boragewick.Log, Service and
// Handler. Clock, Logger, Metrics and HandOverTime may be set before Run.
type Node struct {
	Clock   boragewick.Clock
	Logger  log.Logger
	Metrics metrics.Registry
	// HandOverTime is how long Run may take to hand leadership over once its context is done. It
	// requires that the users of the lease have stopped by then. Zero means that the others wait
	// for the election timeout.
	HandOverTime time.Duration

	cfg     boragewick.ReplicaSettings
	storage boragewick.Storage
	machine boragewick.StateMachine
	peers   boragewick.ReplicaPeers

	inbox           chan boragewick.ReplicaMessage
	requests        chan *request
	firstMembership chan boragewick.Membership
	status          atomic.Pointer[boragewick.LogStatus]
	state           atomic.Pointer[boragewick.ReplicaState]
	opened          chan struct{}
	done            chan struct{}
	// maxBatch limits the number of requests or messages that share one sync.
	maxBatch int
}

// New returns a replica that is started by Run. The peers may be nil for a
// group of one.
func New(cfg boragewick.ReplicaSettings, storage boragewick.Storage, machine boragewick.StateMachine, peers boragewick.ReplicaPeers) *Node {
	n := &Node{
		Clock:           boragewick.SystemClock,
		Logger:          log.NewNopLogger(),
		Metrics:         metrics.NewRegistry(),
		cfg:             cfg.WithDefaults(),
		storage:         storage,
		machine:         machine,
		peers:           peers,
		inbox:           make(chan boragewick.ReplicaMessage, messageQueueSize),
		requests:        make(chan *request, requestQueueSize),
		firstMembership: make(chan boragewick.Membership),
		opened:          make(chan struct{}),
		done:            make(chan struct{}),
		maxBatch:        requestQueueSize,
	}
	n.status.Store(&boragewick.LogStatus{Replica: cfg.Name})
	return n
}

// Run runs the replica until ctx is done or the storage or the state machine
// fails. It returns the error in the latter case.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	linkCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	l, err := open(linkCtx, n)
	if err != nil {
		return err
	}
	defer n.storage.Close()
	close(n.opened)
	return l.run(ctx)
}

// Status returns the state of the replica and of the group as last published by
// the loop.
func (n *Node) Status() boragewick.LogStatus {
	return *n.status.Load()
}

// Member returns the name of this replica and the identity of its disk, which
// is empty until the storage is loaded.
func (n *Node) Member() boragewick.Member {
	if s := n.state.Load(); s != nil {
		return s.Member
	}
	return boragewick.Member{Name: n.cfg.Name}
}

// Propose commits the command and returns the state machine's result. It
// returns ErrNotLeader only if the command was not and will not be committed
// by this proposal, and ErrOutcomeUnknown if it may have been or may still be.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > maxCommandBytes {
		return nil, boragewick.NotRun(errors.Wrapf(boragewick.ErrTooLarge, "command of %d bytes", len(command)))
	}
	return n.submit(ctx, &request{kind: requestPropose, command: command})
}

// Barrier waits until every entry that was committed when it was called has been
// applied on this replica. It returns ErrNotLeader if the replica does not lead
// or loses leadership in the meantime.
func (n *Node) Barrier(ctx context.Context) error {
	_, err := n.submit(ctx, &request{kind: requestBarrier})
	return err
}

// Add adds the instance as a learner with the current identity of its disk.
func (n *Node) Add(ctx context.Context, name string) error {
	state, err := n.probe(ctx, name)
	if err != nil {
		return err
	}
	_, err = n.submit(ctx, &request{kind: requestAdd, member: state.Member})
	return err
}

// Promote makes a learner a voter. It returns ErrBadMembership while the learner
// lacks committed entries or another membership change is in progress.
func (n *Node) Promote(ctx context.Context, name string) error {
	_, err := n.submit(ctx, &request{kind: requestPromote, member: boragewick.Member{Name: name}})
	return err
}

// Demote makes a voter a learner, which may be promoted again.
func (n *Node) Demote(ctx context.Context, name string) error {
	_, err := n.submit(ctx, &request{kind: requestDemote, member: boragewick.Member{Name: name}})
	return err
}

// Remove removes the member from the group. Its disk cannot rejoin without
// being added again.
func (n *Node) Remove(ctx context.Context, name string) error {
	_, err := n.submit(ctx, &request{kind: requestRemove, member: boragewick.Member{Name: name}})
	return err
}

// submit hands the request to the loop and waits for its reply.
func (n *Node) submit(ctx context.Context, r *request) ([]byte, error) {
	r.reply = make(chan reply, 1)
	select {
	case n.requests <- r:
	case <-ctx.Done():
		return nil, boragewick.NotRun(errors.Wrap(ctx.Err(), "hand over request"))
	case <-n.done:
		return nil, boragewick.NotRun(errors.Wrapf(boragewick.ErrDraining, "replica %s has stopped", n.cfg.Name))
	}
	select {
	case a := <-r.reply:
		return a.result, a.err
	case <-ctx.Done():
		return nil, errors.Mark(errors.Wrap(ctx.Err(), "wait for commit"), boragewick.ErrOutcomeUnknown)
	case <-n.done:
	}
	select {
	case a := <-r.reply:
		return a.result, a.err
	default:
		return nil, errors.Wrapf(boragewick.ErrOutcomeUnknown, "replica %s has stopped", n.cfg.Name)
	}
}
