// Package pipenet connects clients and servers through in-memory pipes, so that
// both work inside a testing/synctest bubble.
package pipenet

import (
	"context"
	"net"
	"sync"
)

// Listener is a net.Listener whose Accept returns the server end of an
// in-memory connection for each Dial. Its zero value is ready for use.
type Listener struct {
	once   sync.Once
	closer sync.Once
	conns  chan net.Conn
	closed chan struct{}
}

// Accept waits for the next Dial and returns the server end of its connection.
func (l *Listener) Accept() (net.Conn, error) {
	l.once.Do(l.init)
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes pending and later calls of Accept and Dial return net.ErrClosed.
func (l *Listener) Close() error {
	l.once.Do(l.init)
	l.closer.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an unspecified address.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }

// Dial connects to the listener. It ignores the network and the address.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	l.once.Do(l.init)
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *Listener) init() {
	l.conns = make(chan net.Conn)
	l.closed = make(chan struct{})
}
