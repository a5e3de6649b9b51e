// Package httpserver provides an HTTP server that drains when it is stopped.
package httpserver

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	readHeaderTimeout = 10 * time.Second
	readTimeout       = time.Minute
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// Server is a service that serves HTTP on a listener.
type Server struct {
	Listener net.Listener
	Handler  http.Handler
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// DrainTimeout is how long Run waits for running requests once new
	// connections are refused.
	DrainTimeout time.Duration
	// LingerTime is how long new connections are still accepted after Run's
	// context is done, for callers that do not know of the shutdown yet.
	LingerTime time.Duration
	// AnswerTime is how long handlers may still answer after DrainTimeout. The contexts of
	// requests without an answer are done then, with ErrDraining as the cause, and no more
	// of their bodies is read.
	AnswerTime time.Duration
	// BegunTime is how long responses that have begun may go on after DrainTimeout, as an
	// earlier end would only cut them off. It is less than AnswerTime.
	BegunTime time.Duration
	// OnCut is called if requests still run when Run closes their connections, with the
	// number of those without and with the beginning of a response; it may be nil.
	OnCut func(unanswered, begun int)
	// NoReadTimeout allows requests of unlimited duration, such as WebSockets.
	NoReadTimeout bool
	// ConnContext may add to the context of each connection.
	ConnContext func(ctx context.Context, c net.Conn) context.Context
	// UnreadTimeout is how long a caller may read nothing of a response before its connection
	// is reset, unless the handler sets another time at the boragewick.CallerConn of the
	// request's context. Zero means for ever.
	UnreadTimeout time.Duration
	// OnUnread is called when a connection is reset for that; it may be nil.
	OnUnread func(remote net.Addr, timeout time.Duration)
}

// Run serves until ctx is done. After LingerTime it refuses new connections and
// waits for the running requests.
func (s *Server) Run(ctx context.Context) error {
	requests, cancelRequests := context.WithCancelCause(context.Background())
	defer cancelRequests(nil)
	open := &conns{}
	handler := open.closeAfterResponse(resetAborted(s.Handler))
	running := runningRequests{handler: handler, stopping: &open.stopping}
	if s.AnswerTime > 0 {
		handler = &running
	}
	h := &http.Server{
		BaseContext:       func(net.Listener) context.Context { return requests },
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       s.connContext,
	}
	if s.NoReadTimeout {
		h.ReadTimeout = 0
	}
	h.ConnState = open.connState
	listener, stopListening := s.listener()
	served := make(chan error, 1)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		served <- h.Serve(listener)
	}()
	select {
	case err := <-served:
		return errors.Wrap(err, "serve HTTP")
	case <-ctx.Done():
	}
	drainEnd := time.Now().Add(s.LingerTime + s.DrainTimeout)
	select {
	case err := <-served:
		return errors.Wrap(err, "serve HTTP")
	case <-time.After(s.LingerTime):
	}
	stopListening()
	<-stopped
	endTimer := time.AfterFunc(time.Until(drainEnd), running.endUnanswered)
	defer endTimer.Stop()
	cutTimer := time.AfterFunc(time.Until(drainEnd.Add(s.BegunTime)), func() {
		cancelRequests(errors.Wrap(boragewick.ErrDraining, "end of the drain time"))
	})
	defer cutTimer.Stop()
	drainCtx, cancel := context.WithDeadline(context.Background(), drainEnd.Add(s.AnswerTime))
	defer cancel()
	if err := open.shutdown(drainCtx); err != nil {
		s.cut(h, &running)
		return errors.Wrap(err, "closed running requests at the end of the drain time")
	}
	return nil
}

// listener returns the listener of the HTTP server, and a function that makes it stop after the
// connections in its queue, if it has one.
func (s *Server) listener() (l net.Listener, stop func()) {
	l = s.Listener
	stop = func() { _ = s.Listener.Close() }
	if t, ok := l.(*net.TCPListener); ok {
		queue := &queueListener{TCPListener: t}
		l, stop = queue, queue.stop
	}
	l = &callerListener{Listener: l, unreadTimeout: s.UnreadTimeout, onUnread: s.OnUnread}
	if s.TLS != nil {
		l = tls.NewListener(l, s.TLS)
	}
	return l, stop
}

// cut closes the connections of requests that still run.
func (s *Server) cut(h *http.Server, running *runningRequests) {
	unanswered, begun := running.count()
	_ = h.Close()
	if s.OnCut != nil && unanswered+begun > 0 {
		s.OnCut(unanswered, begun)
	}
}

// connContext returns the context of the connection's requests.
func (s *Server) connContext(ctx context.Context, c net.Conn) context.Context {
	if below := callerConnOf(c); below != nil && s.UnreadTimeout > 0 {
		ctx = boragewick.WithCallerConn(ctx, below)
	}
	if s.ConnContext != nil {
		ctx = s.ConnContext(ctx, c)
	}
	return ctx
}
