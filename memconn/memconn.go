// Package memconn connects processes in one program through memory, for tests
// and trials.
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

// bufferedMessages is how many messages a direction buffers before writes block.
const bufferedMessages = 16

// Network is a boragewick.Dialer for listeners in the same program.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]func(boragewick.Conn) error
	pairs     map[*pair]struct{}
}

// pair is the state that the two ends of a connection share.
type pair struct {
	closed    chan struct{}
	closeOnce sync.Once
	// cut is set if messages that were not yet read are lost.
	cut atomic.Bool
	// dropping is closed to drop all messages that are sent from then on.
	dropping chan struct{}
	dropOnce sync.Once
}

// Listen calls serve for each connection to the address in its own goroutine.
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
	p := &pair{closed: make(chan struct{}), dropping: make(chan struct{})}
	n.pairs[p] = struct{}{}
	to, from := make(chan []byte, bufferedMessages), make(chan []byte, bufferedMessages)
	go func() { _ = serve(&conn{pair: p, in: to, out: from}) }()
	return &conn{pair: p, in: from, out: to}, nil
}

// CloseAll closes all connections and drops messages that were not yet read.
func (n *Network) CloseAll() {
	n.forEach(func(p *pair) {
		p.cut.Store(true)
		p.close()
	})
}

// DropMessages makes all present connections drop messages that are sent on
// them, without an error on either side. New connections work.
func (n *Network) DropMessages() {
	n.forEach(func(p *pair) { p.dropOnce.Do(func() { close(p.dropping) }) })
}

// forEach calls f for all open connections and removes the closed ones.
func (n *Network) forEach(f func(*pair)) {
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
func (p *pair) close() { p.closeOnce.Do(func() { close(p.closed) }) }

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
		return c.readBuffered()
	}
}

// readBuffered returns the next message that was sent before the connection was
// closed, unless it was cut.
func (c *conn) readBuffered() ([]byte, error) {
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
	case <-c.dropping:
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

// RemoteName returns "", as there is no certificate that proves a name.
func (c *conn) RemoteName() string { return "" }

// Close closes both ends.
func (c *conn) Close() error {
	c.close()
	return nil
}
