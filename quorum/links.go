package quorum

import (
	"context"
	"time"

	"github.com/boragewick/boragewick"
)

// linkMessages is the number of messages that wait for a link. More are
// dropped, which the consensus repairs.
const linkMessages = 64

// links sends messages to the other replicas, one goroutine each.
type links struct {
	ctx    context.Context
	node   *Node
	queues map[string]chan boragewick.ReplicaMessage
}

func newLinks(ctx context.Context, n *Node) *links {
	return &links{ctx: ctx, node: n, queues: map[string]chan boragewick.ReplicaMessage{}}
}

// send queues the messages for their receivers and never waits.
func (l *links) send(messages []boragewick.ReplicaMessage) {
	for _, m := range messages {
		queue, ok := l.queues[m.To.Name]
		if !ok {
			queue = make(chan boragewick.ReplicaMessage, linkMessages)
			l.queues[m.To.Name] = queue
			go l.serve(m.To.Name, queue)
		}
		select {
		case queue <- m:
		default:
		}
	}
}

// serve sends what is queued, over a new stream after each failure.
func (l *links) serve(name string, queue <-chan boragewick.ReplicaMessage) {
	for l.ctx.Err() == nil {
		l.relay(name, queue)
		select {
		case <-time.After(l.node.cfg.Heartbeat):
		case <-l.ctx.Done():
		}
		discard(queue)
	}
}

// discard drops the messages that waited while there was no link.
func discard(queue <-chan boragewick.ReplicaMessage) {
	for range len(queue) {
		<-queue
	}
}

// relay sends what is queued over one stream until that fails.
func (l *links) relay(name string, queue <-chan boragewick.ReplicaMessage) {
	if l.node.peers == nil {
		return
	}
	peer, err := l.node.peers(name)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	limit := time.AfterFunc(l.node.cfg.ElectionTimeout, cancel)
	defer limit.Stop()
	self := l.node.state.Load().Member
	stream, err := peer.Open(ctx, boragewick.MethodReplica, &boragewick.ReplicaHello{From: self})
	if err != nil {
		return
	}
	limit.Stop()
	for {
		select {
		case m := <-queue:
			limit.Reset(l.node.cfg.ElectionTimeout)
			if err := stream.Send(ctx, &m); err != nil {
				return
			}
			limit.Stop()
		case <-ctx.Done():
			return
		}
	}
}
