package quorum

import (
	"context"
	"time"

	"github.com/boragewick/boragewick"
)

// sendQueueSize is the number of messages queued for one replica. Further
// messages are dropped; the consensus protocol recovers from the loss.
const sendQueueSize = 64

// links sends messages to the other replicas, with one goroutine per replica.
type links struct {
	ctx    context.Context
	node   *Node
	queues map[string]chan boragewick.ReplicaMessage
}

func newLinks(ctx context.Context, n *Node) *links {
	return &links{ctx: ctx, node: n, queues: map[string]chan boragewick.ReplicaMessage{}}
}

// send queues the messages for their receivers without blocking.
func (l *links) send(messages []boragewick.ReplicaMessage) {
	for _, m := range messages {
		queue, ok := l.queues[m.To.Name]
		if !ok {
			queue = make(chan boragewick.ReplicaMessage, sendQueueSize)
			l.queues[m.To.Name] = queue
			go l.runSender(m.To.Name, queue)
		}
		select {
		case queue <- m:
		default:
		}
	}
}

// runSender sends the queued messages and opens a new stream after each failure.
func (l *links) runSender(name string, queue <-chan boragewick.ReplicaMessage) {
	for l.ctx.Err() == nil {
		l.sendOverStream(name, queue)
		select {
		case <-time.After(l.node.cfg.Heartbeat):
		case <-l.ctx.Done():
		}
		discardQueued(queue)
	}
}

// discardQueued drops the messages that were queued while there was no link.
func discardQueued(queue <-chan boragewick.ReplicaMessage) {
	for range len(queue) {
		<-queue
	}
}

// sendOverStream sends the queued messages over one stream until it fails.
func (l *links) sendOverStream(name string, queue <-chan boragewick.ReplicaMessage) {
	if l.node.peers == nil {
		return
	}
	peer, err := l.node.peers(name)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	timeout := time.AfterFunc(l.node.cfg.ElectionTimeout, cancel)
	defer timeout.Stop()
	self := l.node.state.Load().Member
	stream, err := peer.Open(ctx, boragewick.MethodReplica, &boragewick.ReplicaHello{From: self})
	if err != nil {
		return
	}
	timeout.Stop()
	for {
		select {
		case m := <-queue:
			timeout.Reset(l.node.cfg.ElectionTimeout)
			if err := stream.Send(ctx, &m); err != nil {
				return
			}
			timeout.Stop()
		case <-ctx.Done():
			return
		}
	}
}
