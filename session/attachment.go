package session

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/frame"
)

// byeWithin bounds how long the last message of a session may take.
const byeWithin = time.Second

// attachment is one connection of a session. Its writer goroutine sends what
// the session has queued; Run's goroutine reads.
type attachment struct {
	conn   boragewick.Conn
	wake   chan struct{}
	done   chan struct{}
	once   sync.Once
	silent bool
	// ack is the newest number that this connection has acknowledged.
	ack  uint64
	ping bool
	pong bool
	bye  bool
}

// signal wakes the writer.
func (a *attachment) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// close closes the connection and stops both goroutines.
func (a *attachment) close() {
	a.once.Do(func() {
		close(a.done)
		_ = a.conn.Close()
	})
}

// end closes the connection, after a last message when bye is set.
func (a *attachment) end(bye bool) {
	if !bye {
		go a.close()
		return
	}
	a.bye = true
	a.signal()
	time.AfterFunc(byeWithin, a.close)
}

// Run carries the session over the connection until that fails or another one
// replaces it. The remote has received frames up to the number.
func (s *Session) Run(conn boragewick.Conn, received uint64) error {
	a := &attachment{conn: conn, wake: make(chan struct{}, 1), done: make(chan struct{})}
	defer a.close()
	if err := s.attach(a, received); err != nil {
		return err
	}
	var writer sync.WaitGroup
	writer.Go(func() { s.write(a) })
	err := s.read(a)
	if !s.parting(a) {
		a.close()
	}
	writer.Wait()
	s.detach(a)
	return err
}

// parting reports whether the connection still has a last message to send.
func (s *Session) parting(a *attachment) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return a.bye
}

// attach makes the connection the session's current one.
func (s *Session) attach(a *attachment, received uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	if err := s.out.acknowledge(received); err != nil {
		s.end(err, true)
		return err
	}
	if s.link != nil {
		go s.link.close()
	}
	s.link = a
	a.ack = s.received
	s.out.rewind()
	s.life.attached(time.Now())
	a.signal()
	return nil
}

// detach leaves the session without a connection.
func (s *Session) detach(a *attachment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link != a {
		return
	}
	s.link = nil
	if s.err == nil {
		s.life.detached(time.Now())
	}
}

// write sends batches until the connection closes.
func (s *Session) write(a *attachment) {
	defer a.close()
	var batch []byte
	for {
		var last bool
		if batch == nil {
			batch = getBatch()
		}
		batch, last = s.batch(a, batch[:0])
		if len(batch) > 0 {
			if err := a.conn.WriteMessage(batch); err != nil || last {
				return
			}
			continue
		}
		putBatch(batch)
		batch = nil
		select {
		case <-a.wake:
		case <-a.done:
			return
		}
	}
}

// batch appends the frames to send next and tells whether they are the last.
func (s *Session) batch(a *attachment, batch []byte) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.bye {
		return s.appendBye(batch), true
	}
	if s.link != a || s.err != nil {
		return batch, false
	}
	if a.ack < s.received {
		a.ack = s.received
		s.life.unacked = 0
		s.life.unackedBytes = 0
		batch = appendFrame(batch, frame.Frame{Kind: frame.Ack, Value: a.ack}, nil)
	}
	if a.ping {
		a.ping = false
		batch = appendFrame(batch, frame.Frame{Kind: frame.Ping}, nil)
	}
	if a.pong {
		a.pong = false
		batch = appendFrame(batch, frame.Frame{Kind: frame.Pong}, nil)
	}
	return s.out.take(batch), false
}

// appendBye appends the session's error; the caller holds mu.
func (s *Session) appendBye(batch []byte) []byte {
	buf := getBuffer()
	defer putBuffer(buf)
	if err := frame.Encode(buf, faultOf(s.err)); err != nil {
		return batch
	}
	return appendFrame(batch, frame.Frame{Kind: frame.Bye}, buf.Bytes())
}

// appendFrame appends a frame without a number.
func appendFrame(batch []byte, f frame.Frame, payload []byte) []byte {
	buf := getBuffer()
	defer putBuffer(buf)
	if err := f.Write(buf, payload); err != nil {
		return batch
	}
	return append(batch, buf.Bytes()...)
}

// read takes in messages until the connection fails.
func (s *Session) read(a *attachment) error {
	for {
		b, err := a.conn.ReadMessage()
		if err != nil {
			return s.readError(a, err)
		}
		if err := s.receive(a, b); err != nil {
			return err
		}
	}
}

// readError explains why the connection ended.
func (s *Session) readError(a *attachment, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	if a.silent {
		return errors.Wrap(boragewick.ErrLinkLost, "no answer to a ping")
	}
	return errors.Mark(errors.Wrap(err, "read"), boragewick.ErrLinkLost)
}
