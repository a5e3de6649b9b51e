// Package link opens streams to one remote process. It dials when the first
// stream needs it, dials again when the connection is lost, and closes the
// connection when nobody has used it for a while.
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

// Link is a boragewick.Peer. Its fields are set before the first Open.
type Link struct {
	// Addr is the remote's address.
	Addr netip.AddrPort
	// Dialer connects to it.
	Dialer boragewick.Dialer
	// Hello is what the link tells the remote.
	Hello    boragewick.Hello
	Settings boragewick.LinkSettings

	mu      sync.Mutex
	session *session.Session
	remote  boragewick.Hello
	// ready tells that the session is connected.
	ready   bool
	running bool
	closed  bool
	// waiters counts the Opens that wait for a connection.
	waiters int
	// changed is closed and replaced when ready or failure does.
	changed chan struct{}
	failure failure
}

// failure counts the dials that have failed in a row.
type failure struct {
	err   error
	count int
	// total counts the failed dials of all time.
	total uint64
	// until is when the next dial may begin.
	until time.Time
}

var _ boragewick.Peer = (*Link)(nil)

// Open starts the method on the remote. It waits for a connection and returns
// ErrLinkLost, marked ErrNotRun, when the next dial fails or takes too long.
func (l *Link) Open(ctx context.Context, method string, v any) (boragewick.Stream, error) {
	for {
		s, err := l.connected(ctx)
		if err != nil {
			return nil, boragewick.NotRun(err)
		}
		st, err := s.Open(ctx, method, v)
		if !errors.Is(err, session.ErrEnded) {
			return st, err
		}
		if err := l.replaced(ctx, s); err != nil {
			return nil, boragewick.NotRun(err)
		}
	}
}

// Remote returns the hello of the remote as of the last connection; it is zero
// before the first one.
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
	l.change()
	l.mu.Unlock()
	if s != nil {
		s.End(errors.Wrap(boragewick.ErrLinkLost, "link closed"))
	}
	return nil
}

// connected returns the session once it has a connection.
func (l *Link) connected(ctx context.Context) (*session.Session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ready && !l.closed {
		return l.session, nil
	}
	ctx, cancel := context.WithTimeoutCause(ctx, l.Settings.WithDefaults().DialWithin,
		errors.Wrapf(boragewick.ErrLinkLost, "no connection to %s in time", l.Addr))
	defer cancel()
	l.waiters++
	defer func() { l.waiters-- }()
	failed := l.failure.total
	for !l.ready {
		if l.closed {
			return nil, errors.Wrap(boragewick.ErrLinkLost, "link closed")
		}
		if l.failure.total > failed {
			return nil, l.failure.err
		}
		l.start()
		if err := l.wait(ctx); err != nil {
			return nil, err
		}
	}
	return l.session, nil
}

// replaced returns once the link has noticed that the session has ended.
func (l *Link) replaced(ctx context.Context, s *session.Session) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.ready && l.session == s {
		if err := l.wait(ctx); err != nil {
			return err
		}
	}
	return nil
}

// wait returns after the next change; the caller holds mu.
func (l *Link) wait(ctx context.Context) error {
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

// change wakes all who wait; the caller holds mu.
func (l *Link) change() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}
