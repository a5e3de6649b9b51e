package session

import (
	"bytes"
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/frame"
)

// message is one received message with the credit that it has used.
type message struct {
	body *bytes.Buffer
	cost int
}

// stream is one end of a stream. It implements boragewick.Ender.
type stream struct {
	session *Session
	id      uint64
	// ctx is the opener's context or the one that the handler gets.
	ctx context.Context
	// cancel ends the handler's context.
	cancel context.CancelCauseFunc
	// opener is set on the side that opened the stream, with what detaches the
	// stream from the context and with the open frame's number.
	opener bool
	stop   func() bool
	opened uint64

	mu    sync.Mutex
	queue []message
	// received is the error that follows the queue, and closed tells that the
	// stream carries nothing more in either direction.
	received error
	closed   bool
	ended    bool
	// credit is how much may be sent, window how much may arrive, and consumed
	// what was read since the last grant. All are bytes.
	credit   int
	window   int
	consumed int
	// ready wakes Recv. room wakes Send and is nil until a Send has waited.
	ready chan struct{}
	room  chan struct{}
}

var _ boragewick.Ender = (*stream)(nil)

// newStream returns a stream of the session.
func newStream(ctx context.Context, s *Session, id uint64) *stream {
	return &stream{
		session: s,
		id:      id,
		ctx:     ctx,
		credit:  s.sendWindow,
		window:  s.settings.WindowBytes,
		ready:   make(chan struct{}, 1),
	}
}

// Send encodes v and waits until the receiver has room for it.
func (st *stream) Send(ctx context.Context, v any) error {
	payload := getBuffer()
	defer putBuffer(payload)
	if err := st.session.encode(payload, v); err != nil {
		return err
	}
	if err := st.waitForCredit(ctx, payload.Len()); err != nil {
		return err
	}
	if err := st.session.waitForSpace(ctx, payload.Len(), st.ctx.Done()); err != nil {
		return err
	}
	return st.queueFrame(frame.Data, payload.Bytes())
}

// End tells the handler that the opener sends no more.
func (st *stream) End() error {
	if !st.opener {
		return errors.Wrap(boragewick.ErrProtocol, "a handler ends its stream by returning")
	}
	err := st.queueFrame(frame.End, nil)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ended = true
	return err
}

// queueFrame sends a frame unless the stream is closed.
func (st *stream) queueFrame(kind uint8, payload []byte) error {
	st.session.mu.Lock()
	defer st.session.mu.Unlock()
	if err := st.sendError(); err != nil {
		return err
	}
	st.session.send(frame.Frame{Kind: kind, Stream: st.id}, payload)
	return nil
}

// sendError tells why the stream takes nothing more, or returns nil.
func (st *stream) sendError() error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.ended {
		return errors.Wrap(boragewick.ErrProtocol, "send after the end")
	}
	if !st.closed {
		return nil
	}
	if errors.Is(st.received, io.EOF) {
		return errors.Wrap(boragewick.ErrCanceled, "the stream has ended")
	}
	return st.received
}

// waitForCredit takes credit for n bytes once there is any.
func (st *stream) waitForCredit(ctx context.Context, n int) error {
	for {
		st.mu.Lock()
		ok := st.closed || st.credit > 0
		if ok {
			st.credit -= n
		} else if st.room == nil {
			st.room = make(chan struct{}, 1)
		}
		room := st.room
		st.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-room:
		case <-st.ctx.Done():
			return st.leftError()
		case <-ctx.Done():
			return boragewick.ContextError(ctx)
		}
	}
}

// leftError returns the error of a stream whose context is done.
func (st *stream) leftError() error {
	if err := st.sendError(); err != nil {
		return err
	}
	return boragewick.ContextError(st.ctx)
}

// grant takes in more credit. The error is ErrProtocol if it passes all bounds.
func (st *stream) grant(n uint64) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if n > uint64(st.session.sendWindow)+uint64(st.session.maxSend) {
		return errors.Wrapf(boragewick.ErrProtocol, "credit of %d bytes on stream %d", n, st.id)
	}
	st.credit = min(st.credit+int(n), st.session.sendWindow)
	notify(st.room)
	return nil
}

// Recv decodes the next message into v.
func (st *stream) Recv(ctx context.Context, v any) error {
	for {
		m, err := st.next()
		if err != nil {
			return err
		}
		if m.body != nil {
			defer putBuffer(m.body)
			return frame.Decode(m.body.Bytes(), v)
		}
		select {
		case <-st.ready:
		case <-ctx.Done():
			if !st.opener || st.ctx.Err() == nil {
				return boragewick.ContextError(ctx)
			}
			st.leave()
		}
	}
}

// next takes the next message off the queue and grants credit for it. The
// message is zero when none has arrived.
func (st *stream) next() (message, error) {
	m, grant, err := st.pop()
	if grant > 0 {
		st.session.mu.Lock()
		defer st.session.mu.Unlock()
		if st.session.streams[st.id] == st {
			st.session.send(frame.Frame{Kind: frame.Credit, Stream: st.id, Value: uint64(grant)}, nil)
		}
	}
	return m, err
}

// pop takes the next message off the queue and tells how much to grant.
func (st *stream) pop() (message, int, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if len(st.queue) == 0 {
		return message{}, 0, st.received
	}
	m := st.queue[0]
	st.queue[0] = message{}
	st.queue = st.queue[1:]
	st.consumed += m.cost
	if st.received != nil || st.consumed < st.session.settings.WindowBytes/2 {
		return m, 0, nil
	}
	grant := st.consumed
	st.window += grant
	st.consumed = 0
	return m, grant, nil
}

// deliver queues a received message. The error is ErrProtocol if the sender
// had no credit for it.
func (st *stream) deliver(payload []byte, cost int) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.received != nil {
		return errors.Wrapf(boragewick.ErrProtocol, "data after the end of stream %d", st.id)
	}
	if cost > 0 && st.window <= 0 {
		return errors.Wrapf(boragewick.ErrProtocol, "data without credit on stream %d", st.id)
	}
	if len(payload) > st.session.settings.MaxMessageBytes {
		return errors.Wrapf(boragewick.ErrProtocol, "message of %d bytes on stream %d", len(payload), st.id)
	}
	st.window -= cost
	body := getBuffer()
	body.Write(payload)
	st.queue = append(st.queue, message{body, cost})
	notify(st.ready)
	return nil
}

// endReceive makes the error follow the queued messages.
func (st *stream) endReceive(err error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.received == nil {
		st.received = err
	}
	notify(st.ready)
}

// finish closes both directions. Queued messages can still be received.
func (st *stream) finish(err error) {
	st.endReceive(err)
	st.mu.Lock()
	st.closed = true
	notify(st.room)
	st.mu.Unlock()
	if st.stop != nil {
		st.stop()
	}
}

// leave ends the stream of an opener whose context is done.
func (st *stream) leave() {
	s := st.session
	err := boragewick.ContextError(st.ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[st.id] != st {
		return
	}
	if s.out.withdraw(st.opened) {
		err = boragewick.NotRun(err)
	} else {
		s.send(frame.Frame{Kind: frame.Cancel, Stream: st.id}, nil)
	}
	st.drop()
	s.remove(st, err)
}

// drop forgets the messages that nobody will receive.
func (st *stream) drop() {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, m := range st.queue {
		putBuffer(m.body)
	}
	st.queue = nil
}

// notify wakes the goroutine that waits on the channel.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
