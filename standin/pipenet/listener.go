// Package pipenet connects clients and servers in memory, so that both work
// inside testing/synctest.
package pipenet

import (
	"context"
	"net"
	"sync"
)

// Listener hands out one end of an in-memory connection for each Dial. Its
// zero value is ready for use.
type Listener struct {
	once   sync.Once
	closer sync.Once
	conns  chan net.Conn
	closed chan struct{}
}

// Accept waits for the next Dial.
func (l *Listener) Accept() (net.Conn, error) {
	l.once.Do(l.init)
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept and refuses later calls of Dial.
func (l *Listener) Close() error {
	l.once.Do(l.init)
	l.closer.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an unspecified address.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }

// Dial connects to the listener whatever the address is.
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
