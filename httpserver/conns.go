package httpserver

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// idleCheckInterval is how often a stopping server looks for connections that have become
	// idle.
	idleCheckInterval = 200 * time.Millisecond
	// newConnTime is how long a connection without any request is kept while the server stops,
	// as its first request may be on its way.
	newConnTime = 5 * time.Second
)

// conns are the open connections of an HTTP server. They replace http.Server.Shutdown and
// http.Server.SetKeepAlivesEnabled. Both close connections that were idle a moment ago, also if
// a request has arrived meanwhile and even if its handler runs.
type conns struct {
	stopping atomic.Bool

	mu   sync.Mutex
	open map[*callerConn]struct{}
	// closed is closed once no connection is open while the server stops.
	closed chan struct{}
}

// connState is the ConnState of the HTTP server.
func (a *conns) connState(nc net.Conn, state http.ConnState) {
	c := callerConnOf(nc)
	if c == nil {
		return
	}
	switch state {
	case http.StateNew:
		a.add(c)
	case http.StateIdle:
		c.setIdle()
		if a.stopping.Load() {
			c.endIdle(time.Now())
		}
	case http.StateActive:
		c.setActive()
	case http.StateClosed, http.StateHijacked:
		a.remove(c)
	}
}

// callerConnOf returns the connection of the server's listener below c, or nil.
func callerConnOf(c net.Conn) *callerConn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	below, _ := c.(*callerConn)
	return below
}

func (a *conns) add(c *callerConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open == nil {
		a.open = map[*callerConn]struct{}{}
	}
	a.open[c] = struct{}{}
}

func (a *conns) remove(c *callerConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.open, c)
	a.checkClosed()
}

// checkClosed closes the channel closed once no connection is open.
func (a *conns) checkClosed() {
	if a.closed == nil || len(a.open) > 0 {
		return
	}
	select {
	case <-a.closed:
	default:
		close(a.closed)
	}
}

// shutdown ends the idle connections, and each other one after its request. It returns once all
// are closed or ctx is done. The server accepts no more of them.
func (a *conns) shutdown(ctx context.Context) error {
	a.stopping.Store(true)
	a.mu.Lock()
	a.closed = make(chan struct{})
	a.checkClosed()
	a.mu.Unlock()
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		a.endIdle()
		select {
		case <-a.closed:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (a *conns) endIdle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for c := range a.open {
		c.endIdle(now)
	}
}

// closeAfterResponse returns a handler that tells the callers of a stopping server that their
// connection is closed after the response.
func (a *conns) closeAfterResponse(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}
