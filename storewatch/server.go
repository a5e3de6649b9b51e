// Package storewatch tells routers what the stores of a deployment keep. Stores
// take few watchers, so control replicas watch them for all routers.
package storewatch

import (
	"context"
	"net/netip"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/enginewatch"
)

// Server is a boragewick.Handler for MethodStore. Its fields are set before it
// serves.
type Server struct {
	Probe boragewick.EngineProbe
	// Stores returns the stores of the deployment; no others are watched.
	Stores func() []netip.AddrPort
	Logger log.Logger

	mu      sync.Mutex
	watched map[netip.AddrPort]*watched
}

// watched is a store with the number of routers that are told of it.
type watched struct {
	enginewatch.Watcher
	routers int
	cancel  context.CancelFunc
}

// Serve streams what the store that the router asks for keeps.
func (s *Server) Serve(ctx context.Context, stream boragewick.Stream) error {
	var req boragewick.StoreRequest
	if err := stream.Recv(ctx, &req); err != nil {
		return err
	}
	if !slices.Contains(s.Stores(), req.Store) {
		return errors.Wrapf(boragewick.ErrUnknownService, "store %s", req.Store)
	}
	w := s.enter(req.Store)
	defer s.leave(w)
	return w.Stream(ctx, stream)
}

// enter returns the store's watcher, which runs while any router is told of it.
func (s *Server) enter(store netip.AddrPort) *watched {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watched == nil {
		s.watched = map[netip.AddrPort]*watched{}
	}
	w := s.watched[store]
	if w == nil {
		w = &watched{Watcher: enginewatch.Watcher{Engine: s.Probe, Addr: store, CacheOnly: true, Logger: s.Logger}}
		var ctx context.Context
		ctx, w.cancel = context.WithCancel(context.Background())
		go func() { _ = w.Run(ctx) }() // it ends with its context only
		s.watched[store] = w
	}
	w.routers++
	return w
}

func (s *Server) leave(w *watched) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.routers--; w.routers == 0 {
		w.cancel()
		delete(s.watched, w.Addr)
	}
}
