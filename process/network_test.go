package process

import (
	"context"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/ws"
)

// fault is a network fault on the path between two instances.
type fault int

const (
	noFault fault = iota
	// disconnected closes connections and refuses new ones.
	disconnected
	// dropAll drops all messages on existing and new connections.
	dropAll
	// dropExisting drops all messages on existing connections; new ones work.
	dropExisting
)

// network injects faults into the paths between instances. A path leads from the
// dialling instance to the listening one.
type network struct {
	mu    sync.Mutex
	names map[netip.AddrPort]string
	paths map[path]fault
	conns map[*faultyConn]struct{}
}

type path struct{ from, to string }

func newNetwork() *network {
	return &network{names: map[netip.AddrPort]string{}, paths: map[path]fault{}, conns: map[*faultyConn]struct{}{}}
}

// registerName records which instance listens on the address.
func (n *network) registerName(addr netip.AddrPort, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[addr] = name
}

// setFault sets the fault of the paths between a and each of the others, both ways.
func (n *network) setFault(f fault, a string, others ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, b := range others {
		for _, p := range []path{{a, b}, {b, a}} {
			n.paths[p] = f
			n.applyFault(p, f)
		}
	}
}

// applyFault applies the fault to the existing connections of the path.
func (n *network) applyFault(p path, f fault) {
	for c := range n.conns {
		if c.path != p {
			continue
		}
		switch f {
		case disconnected:
			_ = c.Close()
			delete(n.conns, c)
		case dropAll, dropExisting:
			c.dropMessages()
		}
	}
}

// dialer returns a Dialer for the named instance that applies the path's fault.
func (n *network) dialer(from string) boragewick.Dialer {
	return boragewick.DialerFunc(func(ctx context.Context, addr netip.AddrPort) (boragewick.Conn, error) {
		n.mu.Lock()
		p := path{from, n.names[addr]}
		f := n.paths[p]
		n.mu.Unlock()
		if f == disconnected {
			return nil, errors.Wrap(boragewick.ErrLinkLost, "cut")
		}
		inner, err := new(ws.Transport).Dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		c := &faultyConn{Conn: inner, path: p, dropping: make(chan struct{}), closed: make(chan struct{})}
		if f == dropAll {
			c.dropMessages()
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns[c] = struct{}{}
		return c, nil
	})
}

// faultyConn is a connection that can be made to drop all messages sent and
// received on it.
type faultyConn struct {
	boragewick.Conn
	path      path
	dropOnce  sync.Once
	dropping  chan struct{}
	closeOnce sync.Once
	closed    chan struct{}
}

func (c *faultyConn) dropMessages() { c.dropOnce.Do(func() { close(c.dropping) }) }

func (c *faultyConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *faultyConn) ReadMessage() ([]byte, error) {
	b, err := c.Conn.ReadMessage()
	select {
	case <-c.dropping:
		<-c.closed
		return nil, errors.Wrap(boragewick.ErrLinkLost, "closed")
	default:
		return b, err
	}
}

func (c *faultyConn) WriteMessage(b []byte) error {
	select {
	case <-c.dropping:
		return nil
	default:
		return c.Conn.WriteMessage(b)
	}
}
