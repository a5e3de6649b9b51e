// Package storewatch streams updates of the contents of a deployment's KV cache
// stores to routers. A store accepts few watchers, so control replicas watch the
// stores for all routers.
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

	mu       sync.Mutex
	watchers map[netip.AddrPort]*sharedWatcher
}

// sharedWatcher watches one store. The routers field counts its subscribers.
type sharedWatcher struct {
	enginewatch.Watcher
	routers int
	cancel  context.CancelFunc
}

// Serve streams updates of the contents of the store that the request names.
func (s *Server) Serve(ctx context.Context, stream boragewick.Stream) error {
	var req boragewick.StoreRequest
	if err := stream.Recv(ctx, &req); err != nil {
		return err
	}
	if !slices.Contains(s.Stores(), req.Store) {
		return errors.Wrapf(boragewick.ErrUnknownService, "store %s", req.Store)
	}
	w := s.acquire(req.Store)
	defer s.release(w)
	return w.Stream(ctx, stream)
}

// acquire returns the store's watcher, which runs while at least one router uses
// it.
func (s *Server) acquire(store netip.AddrPort) *sharedWatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watchers == nil {
		s.watchers = map[netip.AddrPort]*sharedWatcher{}
	}
	w := s.watchers[store]
	if w == nil {
		w = &sharedWatcher{Watcher: enginewatch.Watcher{Engine: s.Probe, Addr: store, CacheOnly: true, Logger: s.Logger}}
		var ctx context.Context
		ctx, w.cancel = context.WithCancel(context.Background())
		go func() { _ = w.Run(ctx) }() // it returns only when its context is canceled
		s.watchers[store] = w
	}
	w.routers++
	return w
}

func (s *Server) release(w *sharedWatcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.routers--; w.routers == 0 {
		w.cancel()
		delete(s.watchers, w.Addr)
	}
}
