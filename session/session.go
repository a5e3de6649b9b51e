// Package session carries the streams of one link over a row of connections.
// Numbered frames are kept until the remote acknowledges them and are sent
// again on the next connection, so that streams survive a lost connection.
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

// ErrEnded marks the errors of a session that carries no new streams. Such
// errors of Open are also marked ErrNotRun.
var ErrEnded = errors.New("session ended")

// Accept takes in a stream that the remote has opened. It returns the function
// that serves the stream, or the error that refuses it.
type Accept func(method string) (boragewick.Handler, error)

// Session is one end of a link. Its streams end with ErrLinkLost once the link
// has been without a connection for too long.
type Session struct {
	// ID names the session on both sides.
	ID       boragewick.ID
	ctx      context.Context
	cancel   context.CancelFunc
	settings boragewick.LinkSettings
	accept   Accept
	workers  workers
	// sendWindow and maxSend are the remote's bounds as a receiver.
	sendWindow int
	maxSend    int

	mu       sync.Mutex
	err      error
	link     *attachment
	streams  map[uint64]*stream
	lastID   uint64
	out      outbox
	received uint64
	life     life
}

// New returns a session without a connection. The remote's greeting tells its
// bounds; ctx is what handlers get; accept is nil on the dialling side.
func New(ctx context.Context, set boragewick.LinkSettings, remote greeting.Greeting, accept Accept) *Session {
	s := &Session{
		ID:         remote.Session,
		settings:   set.WithDefaults(),
		accept:     accept,
		sendWindow: remote.WindowBytes,
		maxSend:    remote.MaxMessageBytes,
		streams:    map[uint64]*stream{},
	}
	s.ctx, s.cancel = context.WithCancel(boragewick.WithRemoteHello(ctx, remote.Hello))
	s.workers.jobs = make(chan func())
	s.out.space = make(chan struct{})
	s.life.start(s, time.Now())
	return s
}

// Context is done when the session has ended.
func (s *Session) Context() context.Context { return s.ctx }

// Err returns why the session has ended, or nil.
func (s *Session) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// Received returns the number of the last frame that has arrived.
func (s *Session) Received() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
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
	s.lastID++
	st := newStream(ctx, s, s.lastID)
	st.opener = true
	s.streams[st.id] = st
	s.send(frame.Frame{Kind: frame.Open, Stream: st.id, Method: method}, payload.Bytes())
	st.opened = s.out.last
	st.stop = context.AfterFunc(ctx, st.leave)
	s.life.use(time.Now())
	return st, nil
}

// End ends the session and all its streams with the error.
func (s *Session) End(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(err, true)
}

// end ends the session; the caller holds mu. It tells the remote when bye is set.
func (s *Session) end(err error, bye bool) {
	if s.err != nil {
		return
	}
	s.err = err
	for _, st := range s.streams {
		s.fail(st, err)
	}
	if s.link != nil {
		s.link.end(bye)
	}
	s.life.stop()
	s.out.clear()
	s.cancel()
}

// fail ends one stream because of the session; the caller holds mu.
func (s *Session) fail(st *stream, err error) {
	if st.opener && st.opened > s.out.handed {
		err = boragewick.NotRun(err)
	}
	s.remove(st, err)
}

// remove takes the stream off the session; the caller holds mu.
func (s *Session) remove(st *stream, err error) {
	delete(s.streams, st.id)
	st.finish(err)
	if len(s.streams) == 0 {
		s.life.used = time.Now()
		s.out.changed()
	}
}

// Flush returns once the session has no streams and the remote has all that
// was sent on them, or the session or ctx has ended.
func (s *Session) Flush(ctx context.Context) {
	for {
		s.mu.Lock()
		done := s.err != nil || len(s.streams) == 0 && s.out.bytes == 0
		space := s.out.space
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

// encode appends the message to the buffer and checks its size.
func (s *Session) encode(buf *bytes.Buffer, v any) error {
	if err := frame.Encode(buf, v); err != nil {
		return err
	}
	if limit := min(s.maxSend, s.settings.MaxMessageBytes); buf.Len() > limit {
		return errors.Wrapf(boragewick.ErrTooLarge, "message of %d bytes on a link that takes %d", buf.Len(), limit)
	}
	return nil
}

// send queues a numbered frame; the caller holds mu.
func (s *Session) send(f frame.Frame, payload []byte) {
	if err := s.out.push(f, payload); err != nil {
		s.end(errors.Mark(err, boragewick.ErrLinkLost), true)
		return
	}
	if s.out.bytes > s.settings.KeptBytes {
		s.end(errors.Wrapf(boragewick.ErrLinkLost, "%d bytes not acknowledged", s.out.bytes), true)
		return
	}
	if s.link != nil {
		s.link.signal()
	}
}

// waitForSpace returns once n more bytes fit into the outbox.
func (s *Session) waitForSpace(ctx context.Context, n int, done <-chan struct{}) error {
	for {
		s.mu.Lock()
		fits := s.err != nil || s.out.bytes == 0 || s.out.bytes+n <= s.settings.KeptBytes/2
		space := s.out.space
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
