// Package session carries the streams of one link over successive connections.
// Numbered frames are kept until the remote acknowledges them and are resent
// on the next connection, so that streams survive a lost connection.
package session

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/frame"
	"github.com/boragewick/boragewick/greeting"
)

// ErrEnded marks the errors of Open on a session that has ended. They are also
// marked ErrNotRun.
var ErrEnded = errors.New("session ended")

// AcceptFunc is called for a stream that the remote has opened. It returns the
// handler of the stream, or the error with which the stream is refused.
type AcceptFunc func(method string) (boragewick.Handler, error)

// Session is one end of a link. Its streams end with ErrLinkLost once the link
// has been without a connection for LinkSettings.ResumeTimeout.
type Session struct {
	// ID identifies the session on both sides.
	ID       boragewick.ID
	ctx      context.Context
	cancel   context.CancelFunc
	settings boragewick.LinkSettings
	accept   AcceptFunc
	workers  workers
	// sendWindow and maxSendBytes are the remote's limits as a receiver: the
	// window of a stream and the size of a message.
	sendWindow   int
	maxSendBytes int

	mu           sync.Mutex
	err          error
	attachment   *attachment
	streams      map[uint64]*stream
	lastStreamID uint64
	outbox       outbox
	lastReceived uint64
	watchdog     watchdog
}

// New returns a session without a connection. The remote's greeting contains
// the session's ID and the remote's limits. The context of handlers is derived
// from ctx. accept is nil on the dialling side.
func New(ctx context.Context, set boragewick.LinkSettings, remote greeting.Greeting, accept AcceptFunc) *Session {
	s := &Session{
		ID:           remote.Session,
		settings:     set.WithDefaults(),
		accept:       accept,
		sendWindow:   remote.WindowBytes,
		maxSendBytes: remote.MaxMessageBytes,
		streams:      map[uint64]*stream{},
	}
	s.ctx, s.cancel = context.WithCancel(boragewick.WithRemoteHello(ctx, remote.Hello))
	s.workers.jobs = make(chan func())
	s.outbox.space = make(chan struct{})
	s.watchdog.start(s, time.Now())
	return s
}

// Context returns a context that is done when the session has ended.
func (s *Session) Context() context.Context { return s.ctx }

// Err returns why the session has ended, or nil.
func (s *Session) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// Received returns the number of the last numbered frame that was received.
func (s *Session) Received() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastReceived
}

// Streams returns the number of open streams.
func (s *Session) Streams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams)
}

// Open starts a stream. The session sends the request as soon as it has a
// connection.
func (s *Session) Open(ctx context.Context, method string, v any) (boragewick.Stream, error) {
	payload := getBuffer()
	defer putBuffer(payload)
	if err := s.encode(payload, v); err != nil {
		return nil, boragewick.NotRun(err)
	}
	if err := s.waitForSpace(ctx, payload.Len(), s.ctx.Done()); err != nil {
		return nil, boragewick.NotRun(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return nil, boragewick.NotRun(errors.Mark(s.err, ErrEnded))
	}
	if len(s.streams) >= s.settings.MaxStreams {
		return nil, boragewick.NotRun(errors.Wrapf(boragewick.ErrOverloaded, "%d streams on the link", len(s.streams)))
	}
	s.lastStreamID++
	st := newStream(ctx, s, s.lastStreamID)
	st.opener = true
	s.streams[st.id] = st
	s.enqueue(frame.Frame{Kind: frame.Open, Stream: st.id, Method: method}, payload.Bytes())
	st.openNumber = s.outbox.lastNumber
	st.stopAfterFunc = context.AfterFunc(ctx, st.abandon)
	s.watchdog.streamStarted(time.Now())
	return st, nil
}

// End ends the session and all its streams with the error.
func (s *Session) End(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(err, true)
}

// end ends the session; the caller holds mu. If bye is set, it also sends the
// error to the remote in a Bye frame.
func (s *Session) end(err error, bye bool) {
	if s.err != nil {
		return
	}
	s.err = err
	for _, st := range s.streams {
		s.failStream(st, err)
	}
	if s.attachment != nil {
		s.attachment.end(bye)
	}
	s.watchdog.stop()
	s.outbox.clear()
	s.cancel()
}

// failStream ends a stream with the session's error, marked ErrNotRun if the
// stream's Open frame was never sent; the caller holds mu.
func (s *Session) failStream(st *stream, err error) {
	if st.opener && st.openNumber > s.outbox.highestSent {
		err = boragewick.NotRun(err)
	}
	s.removeStream(st, err)
}

// removeStream removes the stream and ends it with the error; the caller holds mu.
func (s *Session) removeStream(st *stream, err error) {
	delete(s.streams, st.id)
	st.finish(err)
	if len(s.streams) == 0 {
		s.watchdog.lastUsed = time.Now()
		s.outbox.wakeWaiters()
	}
}

// Flush waits until the session has no streams and the remote has acknowledged
// all frames, or until the session or ctx has ended.
func (s *Session) Flush(ctx context.Context) {
	for {
		s.mu.Lock()
		done := s.err != nil || len(s.streams) == 0 && s.outbox.bytes == 0
		space := s.outbox.space
		s.mu.Unlock()
		if done {
			return
		}
		select {
		case <-space:
		case <-ctx.Done():
			return
		}
	}
}

// encode appends the encoded message to the buffer and checks its size.
func (s *Session) encode(buf *bytes.Buffer, v any) error {
	if err := frame.Encode(buf, v); err != nil {
		return err
	}
	if limit := min(s.maxSendBytes, s.settings.MaxMessageBytes); buf.Len() > limit {
		return errors.Wrapf(boragewick.ErrTooLarge, "message of %d bytes on a link that takes %d", buf.Len(), limit)
	}
	return nil
}

// enqueue adds a numbered frame to the outbox; the caller holds mu. It ends the
// session if the unacknowledged frames exceed MaxUnackedBytes.
func (s *Session) enqueue(f frame.Frame, payload []byte) {
	if err := s.outbox.push(f, payload); err != nil {
		s.end(errors.Mark(err, boragewick.ErrLinkLost), true)
		return
	}
	if s.outbox.bytes > s.settings.MaxUnackedBytes {
		s.end(errors.Wrapf(boragewick.ErrLinkLost, "%d bytes not acknowledged", s.outbox.bytes), true)
		return
	}
	if s.attachment != nil {
		s.attachment.signal()
	}
}

// waitForSpace waits until n more bytes fit into the half of MaxUnackedBytes
// that sends may fill, or until done is closed or the session has ended.
func (s *Session) waitForSpace(ctx context.Context, n int, done <-chan struct{}) error {
	for {
		s.mu.Lock()
		fits := s.err != nil || s.outbox.bytes == 0 || s.outbox.bytes+n <= s.settings.MaxUnackedBytes/2
		space := s.outbox.space
		s.mu.Unlock()
		if fits {
			return nil
		}
		select {
		case <-space:
		case <-done:
			return nil
		case <-ctx.Done():
			return boragewick.ContextError(ctx)
		}
	}
}
