package session

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/frame"
)

// byeTimeout bounds how long sending the Bye frame of a session may take.
const byeTimeout = time.Second

// attachment is one connection of a session. Its writer goroutine sends the
// frames that the session has queued; the goroutine of Run reads.
type attachment struct {
	conn         boragewick.Conn
	wake         chan struct{}
	done         chan struct{}
	once         sync.Once
	pingTimedOut bool
	// progressAt is when the first piece of the message that is arriving, or a later one, was
	// last recorded; zero between messages. Only the reader uses it.
	progressAt time.Time
	// lastAck is the highest frame number acknowledged on this connection.
	lastAck  uint64
	sendPing bool
	sendPong bool
	sendBye  bool
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

// end closes the connection, after sending a Bye frame if bye is set.
func (a *attachment) end(bye bool) {
	if !bye {
		go a.close()
		return
	}
	a.sendBye = true
	a.signal()
	time.AfterFunc(byeTimeout, a.close)
}

// Run carries the session over the connection until the connection fails or
// another one replaces it. The remote has received the frames up to number
// received.
func (s *Session) Run(conn boragewick.Conn, received uint64) error {
	a := &attachment{conn: conn, wake: make(chan struct{}, 1), done: make(chan struct{})}
	defer a.close()
	if err := s.attach(a, received); err != nil {
		return err
	}
	if p, ok := conn.(boragewick.ProgressConn); ok {
		p.OnProgress(func() { s.recordProgress(a, time.Now()) })
	}
	var writer sync.WaitGroup
	writer.Go(func() { s.write(a) })
	err := s.read(a)
	if !s.byePending(a) {
		a.close()
	}
	writer.Wait()
	s.detach(a)
	return err
}

// byePending reports whether the writer has to send a Bye frame.
func (s *Session) byePending(a *attachment) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return a.sendBye
}

// attach makes the connection the session's current one.
func (s *Session) attach(a *attachment, received uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	if err := s.outbox.acknowledge(received); err != nil {
		s.end(err, true)
		return err
	}
	if s.attachment != nil {
		go s.attachment.close()
	}
	s.attachment = a
	a.lastAck = s.lastReceived
	s.outbox.rewind()
	s.watchdog.attached(time.Now())
	a.signal()
	return nil
}

// detach removes the connection if it is still the session's current one.
func (s *Session) detach(a *attachment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attachment != a {
		return
	}
	s.attachment = nil
	if s.err == nil {
		s.watchdog.detached(time.Now())
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
		batch, last = s.nextBatch(a, batch[:0])
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

// nextBatch appends the frames to send next and reports whether they are the
// last ones of the connection.
func (s *Session) nextBatch(a *attachment, batch []byte) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.sendBye {
		return s.appendBye(batch), true
	}
	if s.attachment != a || s.err != nil {
		return batch, false
	}
	if a.lastAck < s.lastReceived {
		a.lastAck = s.lastReceived
		s.watchdog.unacked = 0
		s.watchdog.unackedBytes = 0
		batch = appendFrame(batch, frame.Frame{Kind: frame.Ack, Value: a.lastAck}, nil)
	}
	if a.sendPing {
		a.sendPing = false
		batch = appendFrame(batch, frame.Frame{Kind: frame.Ping}, nil)
	}
	if a.sendPong {
		a.sendPong = false
		batch = appendFrame(batch, frame.Frame{Kind: frame.Pong}, nil)
	}
	return s.outbox.appendUnsent(batch), false
}

// appendBye appends a Bye frame with the session's error; the caller holds mu.
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

// read processes received messages until reading or processing one fails.
func (s *Session) read(a *attachment) error {
	for {
		b, err := a.conn.ReadMessage()
		a.progressAt = time.Time{}
		if err != nil {
			return s.readError(a, err)
		}
		if err := s.receive(a, b); err != nil {
			return err
		}
	}
}

// readError returns the reason for which the connection ended.
func (s *Session) readError(a *attachment, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	if a.pingTimedOut {
		return errors.Wrap(boragewick.ErrLinkLost, "no answer to a ping")
	}
	return errors.Mark(errors.Wrap(err, "read"), boragewick.ErrLinkLost)
}
