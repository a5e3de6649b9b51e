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

// Server is an http.Handler for links. Its fields are set before the first
// link; handlers find the remote's hello in their context.
type Server struct {
	// Hello is what the server tells its peers.
	Hello    boragewick.Hello
	Settings boragewick.LinkSettings
	// Transport accepts the connections that come over HTTP.
	Transport ws.Transport
	// Logger may be nil.
	Logger log.Logger

	mu       sync.Mutex
	handlers map[string]boragewick.Handler
	sessions map[boragewick.ID]*remote
	running  int
	draining bool
	idle     chan struct{}
}

// remote is a session with the hello that began it.
type remote struct {
	*session.Session
	hello boragewick.Hello
}

// Handle serves the method with the handler. A second one replaces the first.
func (s *Server) Handle(method string, h boragewick.Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handlers == nil {
		s.handlers = map[string]boragewick.Handler{}
	}
	s.handlers[method] = h
}

// RunWith runs the service that hands connections to s until ctx is done, and
// then lets the last frames out for as long as drain.
func (s *Server) RunWith(ctx context.Context, connections boragewick.Service, drain time.Duration) error {
	serve, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	drained := context.AfterFunc(ctx, func() {
		defer stop()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drain)
		defer cancel()
		if err := s.Shutdown(ctx); err != nil {
			s.log("drain of links", "", err)
		}
	})
	defer drained()
	return connections.Run(serve)
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

// ServeConn serves one connection until it ends and tells why it did.
func (s *Server) ServeConn(conn boragewick.Conn) error {
	defer func() { _ = conn.Close() }()
	deadline := time.AfterFunc(s.Settings.WithDefaults().DialWithin, func() { _ = conn.Close() })
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

// admit finds the session that goes on or begins one.
func (s *Server) admit(ours, theirs greeting.Greeting) (*remote, error) {
	if _, err := ours.Agree(theirs); err != nil {
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
	r := &remote{session.New(context.Background(), s.Settings, theirs, s.accept), theirs.Hello}
	if s.sessions == nil {
		s.sessions = map[boragewick.ID]*remote{}
	}
	s.sessions[r.ID] = r
	context.AfterFunc(r.Context(), func() { s.forget(r.ID) })
	return r, nil
}

// forget drops a session that has ended.
func (s *Server) forget(id boragewick.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, id)
}

// accept finds the handler of the method, bounded by the settings.
func (s *Server) accept(method string) (boragewick.Handler, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil, errors.Wrap(boragewick.ErrDraining, "link server")
	}
	h := s.handlers[method]
	if h == nil {
		return nil, errors.Wrapf(boragewick.ErrUnknownMethod, "%q", method)
	}
	if limit := s.Settings.WithDefaults().MaxHandlers; s.running >= limit {
		return nil, errors.Wrapf(boragewick.ErrOverloaded, "%d handlers run", limit)
	}
	s.running++
	return boragewick.HandlerFunc(func(ctx context.Context, st boragewick.Stream) error {
		defer s.finished()
		return h.Serve(ctx, st)
	}), nil
}

// finished notes that a handler has returned.
func (s *Server) finished() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.running == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// Shutdown refuses new streams, waits until the handlers that run are done and
// the openers have all that they sent, and then ends all sessions. When ctx is done first it ends them at once and returns its error.
func (s *Server) Shutdown(ctx context.Context) error {
	var err error
	select {
	case <-s.drain():
	case <-ctx.Done():
		err = ctx.Err()
	}
	s.mu.Lock()
	var all []*remote
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

// drain refuses new streams. The channel closes when no handler runs.
func (s *Server) drain() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	idle := make(chan struct{})
	if s.running == 0 {
		close(idle)
	} else {
		s.idle = idle
	}
	return idle
}

// log writes why a link ended.
func (s *Server) log(what, remote string, err error) {
	if s.Logger == nil {
		return
	}
	_ = level.Info(s.Logger).Log("msg", what+" ended", "remote", remote, "err", err)
}
