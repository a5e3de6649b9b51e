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
	// backoffBase is the upper bound of the delay after the first failed dial.
	// It doubles with each further failure, up to backoffMax.
	backoffBase = 25 * time.Millisecond
	backoffMax  = time.Second
)

// start starts the goroutine that dials, unless it is running; the caller holds mu.
func (l *Link) start() {
	if l.running {
		return
	}
	l.running = true
	go l.run()
}

// run keeps the link connected until it is no longer needed.
func (l *Link) run() {
	for l.keepRunning() {
		if !l.backOff() {
			continue
		}
		conn, theirs, err := l.connect()
		if err != nil {
			l.dialFailed(err)
			continue
		}
		s := l.resumeOrStartSession(theirs)
		before := s.Received()
		err = s.Run(conn, theirs.Received)
		l.connectionLost(s, err, s.Received() > before)
		if l.OnLost != nil && s.Err() == nil {
			l.OnLost(l.Addr, err)
		}
	}
}

// keepRunning reports whether run has to dial. If not, it ends the session and
// records that run returns.
func (l *Link) keepRunning() bool {
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

// backOff waits until the next dial may begin. It returns false if the link was
// closed.
func (l *Link) backOff() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ctx, cancel := context.WithDeadline(context.Background(), l.failure.retryAt)
	defer cancel()
	for ctx.Err() == nil && !l.closed {
		_ = l.waitForChange(ctx)
	}
	return !l.closed
}

// connect dials and exchanges greetings.
func (l *Link) connect() (boragewick.Conn, greeting.Greeting, error) {
	timeout := l.Settings.WithDefaults().DialTimeout
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
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
	_, err = ours.NegotiateVersion(theirs)
	return theirs, err
}

// resumeOrStartSession returns the session of the new connection: the current
// one if the remote resumes it, otherwise a new one.
func (l *Link) resumeOrStartSession(theirs greeting.Greeting) *session.Session {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil && l.session.ID != theirs.Session {
		l.session.End(l.notResumedError(theirs.Hello))
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
	l.wakeWaiters()
	return l.session
}

// notResumedError returns the reason for which the remote has started another
// session.
func (l *Link) notResumedError(h boragewick.Hello) error {
	if h.Incarnation != l.remote.Incarnation {
		return errors.Wrapf(boragewick.ErrLinkLost, "instance %s has restarted", h.Instance)
	}
	return errors.Wrapf(boragewick.ErrLinkLost, "instance %s has forgotten the session", h.Instance)
}

// connectionLost records that the session has lost its connection. For the
// backoff, a connection on which no new frame was received counts as a failed dial.
func (l *Link) connectionLost(s *session.Session, err error, progress bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ready = false
	if s.Err() != nil {
		l.session = nil
	}
	if progress || s.Err() != nil {
		l.failure.consecutive = 0
		l.failure.err = nil
	} else {
		l.failure.add(err)
	}
	l.wakeWaiters()
}

// dialFailed records a failed dial.
func (l *Link) dialFailed(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil && l.session.Err() != nil {
		l.session = nil
	}
	l.failure.add(err)
	l.failure.total++
	l.wakeWaiters()
}

// add counts a failure and sets the time from which the next dial may begin.
func (f *failure) add(err error) {
	f.err = err
	maxDelay := min(backoffBase<<min(f.consecutive, 10), backoffMax)
	f.consecutive++
	f.retryAt = time.Now().Add(maxDelay/2 + rand.N(maxDelay/2))
}
