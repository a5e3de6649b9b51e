package process

import (
	"context"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/ws"
)

// fault is what a path between two instances does to messages.
type fault int

const (
	healthy fault = iota
	// cut closes connections and refuses new ones.
	cut
	// silent loses everything on old connections and on new ones.
	silent
	// forgotten loses everything on old connections; new ones work.
	forgotten
)

// network knows the faults of all paths. Paths are one-way by who dialled.
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

// name tells who listens on the address.
func (n *network) name(addr netip.AddrPort, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[addr] = name
}

// set gives the paths between a and each of the others, both ways, a fault.
func (n *network) set(f fault, a string, others ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, b := range others {
		for _, p := range []path{{a, b}, {b, a}} {
			n.paths[p] = f
			n.strike(p, f)
		}
	}
}

// strike applies the fault to the connections of the path.
func (n *network) strike(p path, f fault) {
	for c := range n.conns {
		if c.path != p {
			continue
		}
		switch f {
		case cut:
			_ = c.Close()
			delete(n.conns, c)
		case silent, forgotten:
			c.lose()
		}
	}
}

// dialer returns the Dialer of the named instance.
func (n *network) dialer(from string) boragewick.Dialer {
	return boragewick.DialerFunc(func(ctx context.Context, addr netip.AddrPort) (boragewick.Conn, error) {
		n.mu.Lock()
		p := path{from, n.names[addr]}
		f := n.paths[p]
		n.mu.Unlock()
		if f == cut {
			return nil, errors.Wrap(boragewick.ErrLinkLost, "cut")
		}
		inner, err := new(ws.Transport).Dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		c := &faultyConn{Conn: inner, path: p, lost: make(chan struct{}), closed: make(chan struct{})}
		if f == silent {
			c.lose()
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns[c] = struct{}{}
		return c, nil
	})
}

// faultyConn can lose all that is sent and received.
type faultyConn struct {
	boragewick.Conn
	path   path
	once   sync.Once
	lost   chan struct{}
	end    sync.Once
	closed chan struct{}
}

func (c *faultyConn) lose() { c.once.Do(func() { close(c.lost) }) }

func (c *faultyConn) Close() error {
	c.end.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *faultyConn) ReadMessage() ([]byte, error) {
	b, err := c.Conn.ReadMessage()
	select {
	case <-c.lost:
		<-c.closed
		return nil, errors.Wrap(boragewick.ErrLinkLost, "closed")
	default:
		return b, err
	}
}

func (c *faultyConn) WriteMessage(b []byte) error {
	select {
	case <-c.lost:
		return nil
	default:
		return c.Conn.WriteMessage(b)
	}
}
