// Package linkserver accepts links and serves the streams that they carry.
package linkserver

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/greeting"
	"github.com/boragewick/boragewick/session"
	"github.com/boragewick/boragewick/ws"
)

// maxSessions bounds the sessions that one server keeps.
const maxSessions = 16384

// kindSession is the kind in the IDs of sessions.
const kindSession boragewick.Kind = "ses"

// Server is an http.Handler that accepts links. Its fields must be set before
// the first link; handlers get the remote's hello from their context.
type Server struct {
	// Hello is sent to the remotes in greetings.
	Hello    boragewick.Hello
	Settings boragewick.LinkSettings
	// Transport accepts the connections that come over HTTP.
	Transport ws.Transport
	// Logger may be nil.
	Logger log.Logger

	mu              sync.Mutex
	handlers        map[string]boragewick.Handler
	sessions        map[boragewick.ID]*peerSession
	runningHandlers int
	draining        bool
	idle            chan struct{}
}

// peerSession is a session with the hello that started it.
type peerSession struct {
	*session.Session
	hello boragewick.Hello
}

// Handle registers the handler of the method in place of an earlier one.
func (s *Server) Handle(method string, h boragewick.Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handlers == nil {
		s.handlers = map[string]boragewick.Handler{}
	}
	s.handlers[method] = h
}

// RunAndDrain runs the service that passes connections to s until ctx is done.
// It then calls Shutdown, for drainTimeout at most, so that the last frames are
// sent before the service stops.
func (s *Server) RunAndDrain(ctx context.Context, connections boragewick.Service, drainTimeout time.Duration) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	cancelDrain := context.AfterFunc(ctx, func() {
		defer stop()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
		defer cancel()
		if err := s.Shutdown(ctx); err != nil {
			s.log("drain of links", "", err)
		}
	})
	defer cancelDrain()
	return connections.Run(serveCtx)
}

// ServeHTTP accepts a link and serves it until its connection ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := s.Transport.Accept(w, r)
	if err != nil {
		s.log("accept", r.RemoteAddr, err)
		return
	}
	if err := s.ServeConn(conn); err != nil {
		s.log("link", r.RemoteAddr, err)
	}
}

// ServeConn serves one connection until it ends and returns the reason.
func (s *Server) ServeConn(conn boragewick.Conn) error {
	defer func() { _ = conn.Close() }()
	deadline := time.AfterFunc(s.Settings.WithDefaults().DialTimeout, func() { _ = conn.Close() })
	theirs, err := greeting.Recv(conn)
	if err != nil {
		return err
	}
	ours := greeting.New(s.Hello, s.Settings.WithDefaults())
	sess, err := s.admit(ours, theirs)
	if err != nil {
		fault := boragewick.FaultOf(boragewick.NotRun(err))
		ours.Fault = &fault
		return errors.CombineErrors(err, ours.Send(conn))
	}
	ours.Session = sess.ID
	ours.Received = sess.Received()
	if err := ours.Send(conn); err != nil {
		return err
	}
	if !deadline.Stop() {
		return errors.Wrap(boragewick.ErrTimeout, "greeting")
	}
	return sess.Run(conn, theirs.Received)
}

// admit returns the session that the remote resumes, or a new one.
func (s *Server) admit(ours, theirs greeting.Greeting) (*peerSession, error) {
	if _, err := ours.NegotiateVersion(theirs); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil, errors.Wrap(boragewick.ErrDraining, "link server")
	}
	if r := s.sessions[theirs.Session]; r != nil && r.hello == theirs.Hello {
		return r, nil
	}
	if len(s.sessions) >= maxSessions {
		return nil, errors.Wrapf(boragewick.ErrOverloaded, "%d links", len(s.sessions))
	}
	theirs.Session = boragewick.NewID(kindSession)
	r := &peerSession{session.New(context.Background(), s.Settings, theirs, s.acceptStream), theirs.Hello}
	if s.sessions == nil {
		s.sessions = map[boragewick.ID]*peerSession{}
	}
	s.sessions[r.ID] = r
	context.AfterFunc(r.Context(), func() { s.removeSession(r.ID) })
	return r, nil
}

// removeSession removes a session that has ended.
func (s *Server) removeSession(id boragewick.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, id)
}

// acceptStream returns the handler of the method unless the server drains or
// runs MaxHandlers handlers already.
func (s *Server) acceptStream(method string) (boragewick.Handler, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil, errors.Wrap(boragewick.ErrDraining, "link server")
	}
	h := s.handlers[method]
	if h == nil {
		return nil, errors.Wrapf(boragewick.ErrUnknownMethod, "%q", method)
	}
	if limit := s.Settings.WithDefaults().MaxHandlers; s.runningHandlers >= limit {
		return nil, errors.Wrapf(boragewick.ErrOverloaded, "%d handlers run", limit)
	}
	s.runningHandlers++
	return boragewick.HandlerFunc(func(ctx context.Context, st boragewick.Stream) error {
		defer s.handlerReturned()
		return h.Serve(ctx, st)
	}), nil
}

// handlerReturned decrements the number of running handlers and closes idle at
// zero.
func (s *Server) handlerReturned() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningHandlers--
	if s.runningHandlers == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// Shutdown refuses new streams, waits until the running handlers have returned
// and the openers have received all that they sent, and then ends all sessions.
// If ctx is done first, Shutdown ends them at once and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	var err error
	select {
	case <-s.drain():
	case <-ctx.Done():
		err = ctx.Err()
	}
	s.mu.Lock()
	var all []*peerSession
	for _, r := range s.sessions {
		all = append(all, r)
	}
	s.mu.Unlock()
	for _, r := range all {
		r.Flush(ctx)
		r.End(errors.Wrap(boragewick.ErrDraining, "link server"))
	}
	return err
}

// drain makes the server refuse new streams. The returned channel is closed
// when no handler runs.
func (s *Server) drain() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	idle := make(chan struct{})
	if s.runningHandlers == 0 {
		close(idle)
	} else {
		s.idle = idle
	}
	return idle
}

// log writes the error with which the operation ended.
func (s *Server) log(operation, remote string, err error) {
	if s.Logger == nil {
		return
	}
	_ = level.Info(s.Logger).Log("msg", operation+" ended", "remote", remote, "err", err)
}
