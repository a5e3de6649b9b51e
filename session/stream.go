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

// message is a received message with the credit in bytes that it has used.
type message struct {
	body *bytes.Buffer
	cost int
}

// stream is one end of a stream. It implements boragewick.HalfCloser.
type stream struct {
	session *Session
	id      uint64
	// ctx is the context passed to Session.Open or to the handler.
	ctx context.Context
	// cancel cancels the handler's context.
	cancel context.CancelCauseFunc
	// opener is set on the side that opened the stream. There, stopAfterFunc
	// detaches the stream from ctx and openNumber is the Open frame's number.
	opener        bool
	stopAfterFunc func() bool
	openNumber    uint64

	mu    sync.Mutex
	queue []message
	// recvErr is what Recv returns after the queued messages. closed is set when
	// both directions have ended, sendEnded when CloseSend was called.
	recvErr   error
	closed    bool
	sendEnded bool
	// credit is how much may still be sent, window how much may still be
	// received, and consumed how much was read since credit was last granted to
	// the remote. All are in bytes.
	credit   int
	window   int
	consumed int
	// recvReady wakes Recv. sendReady wakes Send and is nil until a Send has
	// waited.
	recvReady chan struct{}
	sendReady chan struct{}
}

var _ boragewick.HalfCloser = (*stream)(nil)

// newStream returns a stream of the session.
func newStream(ctx context.Context, s *Session, id uint64) *stream {
	return &stream{
		session:   s,
		id:        id,
		ctx:       ctx,
		credit:    s.sendWindow,
		window:    s.settings.WindowBytes,
		recvReady: make(chan struct{}, 1),
	}
}

// Send encodes v and queues it once there is credit and space in the outbox.
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

// CloseSend signals to the handler that the opener sends no more messages. Only
// the opener may call it; a handler ends its stream by returning.
func (st *stream) CloseSend() error {
	if !st.opener {
		return errors.Wrap(boragewick.ErrProtocol, "a handler ends its stream by returning")
	}
	err := st.queueFrame(frame.End, nil)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.sendEnded = true
	return err
}

// queueFrame queues a frame unless the stream takes none any more.
func (st *stream) queueFrame(kind uint8, payload []byte) error {
	st.session.mu.Lock()
	defer st.session.mu.Unlock()
	if err := st.sendError(); err != nil {
		return err
	}
	st.session.enqueue(frame.Frame{Kind: kind, Stream: st.id}, payload)
	return nil
}

// sendError returns why nothing more can be sent on the stream, or nil.
func (st *stream) sendError() error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.sendEnded {
		return errors.Wrap(boragewick.ErrProtocol, "send after the end")
	}
	if !st.closed {
		return nil
	}
	if errors.Is(st.recvErr, io.EOF) {
		return errors.Wrap(boragewick.ErrCanceled, "the stream has ended")
	}
	return st.recvErr
}

// waitForCredit waits until there is any credit and then takes n bytes of it,
// which may leave it negative.
func (st *stream) waitForCredit(ctx context.Context, n int) error {
	for {
		st.mu.Lock()
		ok := st.closed || st.credit > 0
		if ok {
			st.credit -= n
		} else if st.sendReady == nil {
			st.sendReady = make(chan struct{}, 1)
		}
		sendReady := st.sendReady
		st.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-sendReady:
		case <-st.ctx.Done():
			return st.contextDoneError()
		case <-ctx.Done():
			return boragewick.ContextError(ctx)
		}
	}
}

// contextDoneError returns the error of a stream whose context is done.
func (st *stream) contextDoneError() error {
	if err := st.sendError(); err != nil {
		return err
	}
	return boragewick.ContextError(st.ctx)
}

// addCredit adds credit granted by the remote, up to the send window. The error
// is ErrProtocol if the grant exceeds the remote's limits.
func (st *stream) addCredit(n uint64) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if n > uint64(st.session.sendWindow)+uint64(st.session.maxSendBytes) {
		return errors.Wrapf(boragewick.ErrProtocol, "credit of %d bytes on stream %d", n, st.id)
	}
	st.credit = min(st.credit+int(n), st.session.sendWindow)
	notify(st.sendReady)
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
		case <-st.recvReady:
		case <-ctx.Done():
			if !st.opener || st.ctx.Err() == nil {
				return boragewick.ContextError(ctx)
			}
			st.abandon()
		}
	}
}

// next removes the next message from the queue and grants credit to the remote
// if that is due. The message is zero if the queue is empty.
func (st *stream) next() (message, error) {
	m, grant, err := st.pop()
	if grant > 0 {
		st.session.mu.Lock()
		defer st.session.mu.Unlock()
		if st.session.streams[st.id] == st {
			st.session.enqueue(frame.Frame{Kind: frame.Credit, Stream: st.id, Value: uint64(grant)}, nil)
		}
	}
	return m, err
}

// pop removes the next message from the queue and returns how much credit to
// grant to the remote.
func (st *stream) pop() (message, int, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if len(st.queue) == 0 {
		return message{}, 0, st.recvErr
	}
	m := st.queue[0]
	st.queue[0] = message{}
	st.queue = st.queue[1:]
	st.consumed += m.cost
	if st.recvErr != nil || st.consumed < st.session.settings.WindowBytes/2 {
		return m, 0, nil
	}
	grant := st.consumed
	st.window += grant
	st.consumed = 0
	return m, grant, nil
}

// deliver queues a received message. The error is ErrProtocol if the sender had
// no credit for it, the message is too large or the stream has ended.
func (st *stream) deliver(payload []byte, cost int) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.recvErr != nil {
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
	notify(st.recvReady)
	return nil
}

// setRecvErr makes Recv return the error after the queued messages.
func (st *stream) setRecvErr(err error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.recvErr == nil {
		st.recvErr = err
	}
	notify(st.recvReady)
}

// finish closes both directions. Queued messages can still be received.
func (st *stream) finish(err error) {
	st.setRecvErr(err)
	st.mu.Lock()
	st.closed = true
	notify(st.sendReady)
	st.mu.Unlock()
	if st.stopAfterFunc != nil {
		st.stopAfterFunc()
	}
}

// abandon ends the opener's stream after its context is done.
func (st *stream) abandon() {
	s := st.session
	err := boragewick.ContextError(st.ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[st.id] != st {
		return
	}
	if s.outbox.withdraw(st.openNumber) {
		err = boragewick.NotRun(err)
	} else {
		s.enqueue(frame.Frame{Kind: frame.Cancel, Stream: st.id}, nil)
	}
	st.discardQueue()
	s.removeStream(st, err)
}

// discardQueue drops the queued messages, which nobody will receive.
func (st *stream) discardQueue() {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, m := range st.queue {
		putBuffer(m.body)
	}
	st.queue = nil
}

// notify wakes the goroutine that waits on the channel, if any.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
