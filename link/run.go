package link

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/greeting"
	"github.com/boragewick/boragewick/session"
)

const (
	// backoffFirst and backoffMost bound the wait between two dials.
	backoffFirst = 25 * time.Millisecond
	backoffMost  = time.Second
)

// start runs the goroutine that dials, unless it runs; the caller holds mu.
func (l *Link) start() {
	if l.running {
		return
	}
	l.running = true
	go l.run()
}

// run keeps the link connected until nobody needs it.
func (l *Link) run() {
	for l.needed() {
		if !l.backOff() {
			continue
		}
		conn, theirs, err := l.connect()
		if err != nil {
			l.failed(err)
			continue
		}
		s := l.take(theirs)
		before := s.Received()
		err = s.Run(conn, theirs.Received)
		l.lost(s, err, s.Received() > before)
	}
}

// needed reports whether to dial, and notes that run returns if not.
func (l *Link) needed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	resuming := l.session != nil && l.session.Streams() > 0
	if !l.closed && (resuming || l.waiters > 0) {
		return true
	}
	if l.session != nil {
		l.session.End(errors.Wrap(boragewick.ErrLinkLost, "not resumed"))
		l.session = nil
	}
	l.running = false
	return false
}

// backOff waits until the next dial may begin. It is false if the link closes.
func (l *Link) backOff() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ctx, cancel := context.WithDeadline(context.Background(), l.failure.until)
	defer cancel()
	for ctx.Err() == nil && !l.closed {
		_ = l.wait(ctx)
	}
	return !l.closed
}

// connect dials and exchanges greetings.
func (l *Link) connect() (boragewick.Conn, greeting.Greeting, error) {
	within := l.Settings.WithDefaults().DialWithin
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	conn, err := l.Dialer.Dial(ctx, l.Addr)
	if err != nil {
		return nil, greeting.Greeting{}, errors.Mark(err, boragewick.ErrLinkLost)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	theirs, err := l.greet(conn)
	if !stop() && err == nil {
		err = errors.Wrap(boragewick.ErrTimeout, "greeting")
	}
	if err != nil {
		_ = conn.Close()
		return nil, theirs, errors.Mark(errors.Wrapf(err, "link to %s", l.Addr), boragewick.ErrLinkLost)
	}
	return conn, theirs, nil
}

// greet sends the link's greeting and reads the remote's.
func (l *Link) greet(conn boragewick.Conn) (greeting.Greeting, error) {
	ours := greeting.New(l.Hello, l.Settings.WithDefaults())
	l.mu.Lock()
	s := l.session
	l.mu.Unlock()
	if s != nil {
		ours.Session = s.ID
		ours.Received = s.Received()
	}
	if err := ours.Send(conn); err != nil {
		return greeting.Greeting{}, err
	}
	theirs, err := greeting.Recv(conn)
	if err != nil {
		return theirs, err
	}
	_, err = ours.Agree(theirs)
	return theirs, err
}

// take returns the session that the new connection carries.
func (l *Link) take(theirs greeting.Greeting) *session.Session {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil && l.session.ID != theirs.Session {
		l.session.End(l.notResumed(theirs.Hello))
		l.session = nil
	}
	if l.session == nil {
		l.session = session.New(context.Background(), l.Settings, theirs, nil)
	}
	if l.closed {
		l.session.End(errors.Wrap(boragewick.ErrLinkLost, "link closed"))
	}
	l.remote = theirs.Hello
	l.ready = true
	l.change()
	return l.session
}

// notResumed tells why the remote has begun another session.
func (l *Link) notResumed(h boragewick.Hello) error {
	if h.Incarnation != l.remote.Incarnation {
		return errors.Wrapf(boragewick.ErrLinkLost, "instance %s has restarted", h.Instance)
	}
	return errors.Wrapf(boragewick.ErrLinkLost, "instance %s has forgotten the session", h.Instance)
}

// lost notes that the session has no connection any more. Connections that
// bring nothing count as failed dials.
func (l *Link) lost(s *session.Session, err error, progress bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ready = false
	if s.Err() != nil {
		l.session = nil
	}
	if progress || s.Err() != nil {
		l.failure.count = 0
		l.failure.err = nil
	} else {
		l.failure.add(err)
	}
	l.change()
}

// failed notes a dial that has failed.
func (l *Link) failed(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil && l.session.Err() != nil {
		l.session = nil
	}
	l.failure.add(err)
	l.failure.total++
	l.change()
}

// add counts a failure and sets when the next dial may begin.
func (f *failure) add(err error) {
	f.err = err
	most := min(backoffFirst<<min(f.count, 10), backoffMost)
	f.count++
	f.until = time.Now().Add(most/2 + rand.N(most/2))
}
