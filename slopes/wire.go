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

// countedLink is an in-memory link that counts the bytes in both directions,
// without the headers of WebSocket, TLS, TCP and IP.
type countedLink struct {
	*link.Link
	bytes atomic.Int64
}

// countedConn counts the bytes that are read from and written to a connection.
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

// newCountedLink returns a link to an in-memory server with the handlers that
// register adds.
func newCountedLink(register func(handle func(method string, h boragewick.Handler))) *countedLink {
	var w countedLink
	var network memconn.Network
	var server linkserver.Server
	register(server.Handle)
	addr := netip.MustParseAddrPort("127.0.0.1:7400")
	network.Listen(addr, server.ServeConn)
	w.Link = &link.Link{Addr: addr, Dialer: countingDialer(&network, &w.bytes)}
	return &w
}

// callLoad is a kind of call that is repeated over an in-memory link. The calls
// are numbered from 0.
type callLoad struct {
	server func() (func(handle func(method string, h boragewick.Handler)), error)
	call   func(ctx context.Context, p boragewick.Peer, n int) error
}

func (t callLoad) bytes(ctx context.Context, size int) (float64, error) {
	w, _, err := t.run(ctx, size)
	return w, err
}

func (t callLoad) time(ctx context.Context, size int) (float64, error) {
	_, cpu, err := t.run(ctx, size)
	return cpu, err
}

func (t callLoad) run(ctx context.Context, size int) (float64, float64, error) {
	register, err := t.server()
	if err != nil {
		return 0, 0, err
	}
	w := newCountedLink(register)
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
