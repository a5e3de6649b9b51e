package slopes

import (
	"context"
	"net/netip"
	"sync/atomic"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/link"
	"github.com/boragewick/boragewick/linkserver"
	"github.com/boragewick/boragewick/memconn"
)

// wire is a link in memory whose bytes in both directions are counted. WebSocket,
// TLS, TCP and IP headers are not among them.
type wire struct {
	*link.Link
	bytes atomic.Int64
}

// countedConn counts what goes through a connection.
type countedConn struct {
	boragewick.Conn
	bytes *atomic.Int64
}

// ReadMessage implements boragewick.Conn.
func (c countedConn) ReadMessage() ([]byte, error) {
	b, err := c.Conn.ReadMessage()
	c.bytes.Add(int64(len(b)))
	return b, err
}

// WriteMessage implements boragewick.Conn.
func (c countedConn) WriteMessage(b []byte) error {
	c.bytes.Add(int64(len(b)))
	return c.Conn.WriteMessage(b)
}

// dialWire connects to a server that handles what register names.
func dialWire(register func(handle func(method string, h boragewick.Handler))) *wire {
	var w wire
	var network memconn.Network
	var server linkserver.Server
	register(server.Handle)
	addr := netip.MustParseAddrPort("127.0.0.1:7400")
	network.Listen(addr, server.ServeConn)
	w.Link = &link.Link{Addr: addr, Dialer: countingDialer(&network, &w.bytes)}
	return &w
}

// traffic is one kind of call over a link in memory, numbered from 0.
type traffic struct {
	server func() (func(handle func(method string, h boragewick.Handler)), error)
	call   func(ctx context.Context, p boragewick.Peer, n int) error
}

func (t traffic) bytes(ctx context.Context, size int) (float64, error) {
	w, _, err := t.run(ctx, size)
	return w, err
}

func (t traffic) time(ctx context.Context, size int) (float64, error) {
	_, cpu, err := t.run(ctx, size)
	return cpu, err
}

func (t traffic) run(ctx context.Context, size int) (float64, float64, error) {
	register, err := t.server()
	if err != nil {
		return 0, 0, err
	}
	w := dialWire(register)
	defer func() { _ = w.Close() }()
	if err := t.call(ctx, w, 0); err != nil {
		return 0, 0, err
	}
	before := w.bytes.Load()
	cpu, err := processorTime(func() error {
		for n := range size {
			if err := t.call(ctx, w, n+1); err != nil {
				return err
			}
		}
		return nil
	})
	return float64(w.bytes.Load() - before), cpu, err
}
