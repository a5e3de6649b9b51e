// Package memconn connects processes that live in one program, for tests and
// for trying the system out.
package memconn

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// pipeMessages is how many messages a direction holds before writes wait.
const pipeMessages = 16

// Network is a boragewick.Dialer for listeners in the same program.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]func(boragewick.Conn) error
	pairs     map[*pair]struct{}
}

// pair is one connection.
type pair struct {
	closed chan struct{}
	once   sync.Once
	// cut tells that what was under way is lost.
	cut atomic.Bool
	// silent is closed when the connection has lost all that is sent from then on.
	silent     chan struct{}
	silentOnce sync.Once
}

// Listen serves connections to the address, each in its own goroutine.
func (n *Network) Listen(addr netip.AddrPort, serve func(boragewick.Conn) error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[netip.AddrPort]func(boragewick.Conn) error{}
		n.pairs = map[*pair]struct{}{}
	}
	n.listeners[addr] = serve
}

// Unlisten makes dials to the address fail.
func (n *Network) Unlisten(addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.listeners, addr)
}

// Dial connects to a listener. The error is ErrLinkLost.
func (n *Network) Dial(_ context.Context, addr netip.AddrPort) (boragewick.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	serve := n.listeners[addr]
	if serve == nil {
		return nil, errors.Wrapf(boragewick.ErrLinkLost, "nobody listens on %s", addr)
	}
	p := &pair{closed: make(chan struct{}), silent: make(chan struct{})}
	n.pairs[p] = struct{}{}
	to, from := make(chan []byte, pipeMessages), make(chan []byte, pipeMessages)
	go func() { _ = serve(&conn{pair: p, in: to, out: from}) }()
	return &conn{pair: p, in: from, out: to}, nil
}

// Cut closes all connections and loses what is under way on them.
func (n *Network) Cut() {
	n.each(func(p *pair) {
		p.cut.Store(true)
		p.close()
	})
}

// Silence makes all present connections lose what is sent on them, without
// telling either side. New connections work.
func (n *Network) Silence() {
	n.each(func(p *pair) { p.silentOnce.Do(func() { close(p.silent) }) })
}

// each calls f for all open connections.
func (n *Network) each(f func(*pair)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.pairs {
		f(p)
		select {
		case <-p.closed:
			delete(n.pairs, p)
		default:
		}
	}
}

// close closes both ends.
func (p *pair) close() { p.once.Do(func() { close(p.closed) }) }

// conn is one end of a pair.
type conn struct {
	*pair
	in  <-chan []byte
	out chan<- []byte
}

// ReadMessage returns the next message.
func (c *conn) ReadMessage() ([]byte, error) {
	select {
	case b := <-c.in:
		return b, nil
	case <-c.closed:
		return c.rest()
	}
}

// rest returns what was sent before the connection was closed.
func (c *conn) rest() ([]byte, error) {
	if c.cut.Load() {
		return nil, io.ErrClosedPipe
	}
	select {
	case b := <-c.in:
		return b, nil
	default:
		return nil, io.ErrClosedPipe
	}
}

// WriteMessage sends a copy of b.
func (c *conn) WriteMessage(b []byte) error {
	select {
	case <-c.silent:
		return nil
	default:
	}
	select {
	case c.out <- append([]byte(nil), b...):
		return nil
	case <-c.closed:
		return io.ErrClosedPipe
	}
}

// RemoteName returns "" because nothing is proved.
func (c *conn) RemoteName() string { return "" }

// Close closes both ends.
func (c *conn) Close() error {
	c.close()
	return nil
}
