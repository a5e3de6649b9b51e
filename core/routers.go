package core

import (
	"maps"
	"net/netip"
	"slices"
	"sync"

	"github.com/zeebo/xxh3"
)

// routerSet is the set of routers that watch this replica or another one. A router
// watches several replicas and must count once.
type routerSet struct {
	mu sync.Mutex
	// streams counts the streams of each router to this replica, by the hash of its
	// name.
	streams map[uint64]int
	remote  map[netip.AddrPort][]uint64
}

func (s *routerSet) add(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams == nil {
		s.streams = map[uint64]int{}
	}
	s.streams[xxh3.HashString(name)]++
}

func (s *routerSet) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := xxh3.HashString(name)
	if s.streams[h]--; s.streams[h] <= 0 {
		delete(s.streams, h)
	}
}

// setRemote records the routers that watch another replica; nil if that is lost.
func (s *routerSet) setRemote(replica netip.AddrPort, routers []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if routers == nil {
		delete(s.remote, replica)
		return
	}
	if s.remote == nil {
		s.remote = map[netip.AddrPort][]uint64{}
	}
	s.remote[replica] = routers
}

// list returns the routers that watch this replica, in order.
func (s *routerSet) list() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.streams))
}

// count returns the number of routers that watch any replica.
func (s *routerSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[uint64]bool{}
	for h := range s.streams {
		all[h] = true
	}
	for _, list := range s.remote {
		for _, h := range list {
			all[h] = true
		}
	}
	return len(all)
}

// Routers returns the number of routers that watch this process.
func (c *Core) Routers() int { return len(c.routers.list()) }
