// Package link opens streams to one remote process. It dials when the first
// stream is opened, reconnects when the connection is lost, and closes the
// connection when it has been idle for a while.
package link

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/session"
)

// Link is a boragewick.Peer. Its exported fields are set before the first Open.
type Link struct {
	// Addr is the remote's address.
	Addr netip.AddrPort
	// Dialer connects to Addr.
	Dialer boragewick.Dialer
	// Hello is sent to the remote in the greeting of each connection.
	Hello    boragewick.Hello
	Settings boragewick.LinkSettings
	// OnLost is called with the reason when a connection has ended that others may replace; it
	// may be nil.
	OnLost func(addr netip.AddrPort, err error)

	mu      sync.Mutex
	session *session.Session
	remote  boragewick.Hello
	// ready is set while the session has a connection.
	ready   bool
	running bool
	closed  bool
	// waiters counts the calls of Open that wait for a connection.
	waiters int
	// changed is closed and set to nil when ready, closed or failure changes. The
	// next goroutine that waits creates it.
	changed chan struct{}
	failure failure
}

// failure counts the consecutive failed dials.
type failure struct {
	err         error
	consecutive int
	// total counts all failed dials of the link.
	total uint64
	// retryAt is when the next dial may begin.
	retryAt time.Time
}

var _ boragewick.Peer = (*Link)(nil)

// Open starts the method on the remote. It waits for a connection and returns
// ErrLinkLost, marked ErrNotRun, when the next dial fails or takes too long.
func (l *Link) Open(ctx context.Context, method string, v any) (boragewick.Stream, error) {
	for {
		s, err := l.waitConnected(ctx)
		if err != nil {
			return nil, boragewick.NotRun(err)
		}
		st, err := s.Open(ctx, method, v)
		if !errors.Is(err, session.ErrEnded) {
			return st, err
		}
		if err := l.waitReplaced(ctx, s); err != nil {
			return nil, boragewick.NotRun(err)
		}
	}
}

// Remote returns the hello that the remote sent on the last connection; it is
// zero before the first one.
func (l *Link) Remote() boragewick.Hello {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.remote
}

// Close ends all streams with ErrLinkLost and makes Open fail.
func (l *Link) Close() error {
	l.mu.Lock()
	l.closed = true
	s := l.session
	l.wakeWaiters()
	l.mu.Unlock()
	if s != nil {
		s.End(errors.Wrap(boragewick.ErrLinkLost, "link closed"))
	}
	return nil
}

// waitConnected returns the session once it has a connection.
func (l *Link) waitConnected(ctx context.Context) (*session.Session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ready && !l.closed {
		return l.session, nil
	}
	ctx, cancel := context.WithTimeoutCause(ctx, l.Settings.WithDefaults().DialTimeout,
		errors.Wrapf(boragewick.ErrLinkLost, "no connection to %s in time", l.Addr))
	defer cancel()
	l.waiters++
	defer func() { l.waiters-- }()
	failedBefore := l.failure.total
	for !l.ready {
		if l.closed {
			return nil, errors.Wrap(boragewick.ErrLinkLost, "link closed")
		}
		if l.failure.total > failedBefore {
			return nil, l.failure.err
		}
		l.start()
		if err := l.waitForChange(ctx); err != nil {
			return nil, err
		}
	}
	return l.session, nil
}

// waitReplaced returns once the link has detected that the session has ended.
func (l *Link) waitReplaced(ctx context.Context, s *session.Session) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.ready && l.session == s {
		if err := l.waitForChange(ctx); err != nil {
			return err
		}
	}
	return nil
}

// waitForChange waits until changed is closed. The caller holds mu, which is
// released while waiting.
func (l *Link) waitForChange(ctx context.Context) error {
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	changed := l.changed
	l.mu.Unlock()
	defer l.mu.Lock()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return boragewick.ContextError(ctx)
	}
}

// wakeWaiters wakes all goroutines in waitForChange; the caller holds mu.
func (l *Link) wakeWaiters() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}
