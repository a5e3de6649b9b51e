// Package storefollow keeps a router in step with what the stores of a
// deployment keep, as control replicas tell.
package storefollow

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/zeebo/xxh3"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/peers"
	"github.com/boragewick/boragewick/updates"
)

const (
	// lookEvery is how often the set of stores is looked at.
	lookEvery = 300 * time.Millisecond
	// retryPause is the time between two tries to follow a store.
	retryPause = 200 * time.Millisecond
	// askedReplicas is the number of control replicas that routers ask, as each
	// of them takes a watcher's place at the store.
	askedReplicas = 3
)

// Follower follows every store. Its fields are set before Run.
type Follower struct {
	// Instance names this router.
	Instance string
	Peers    *peers.Pool
	// Stores and Replicas return the stores and the control replicas, as they
	// are known now.
	Stores   func() []netip.AddrPort
	Replicas func() []netip.AddrPort
	// Observe takes in an update; nil tells that nothing is known of the store.
	Observe func(store netip.AddrPort, u *boragewick.EngineUpdate)
	Logger  log.Logger
}

// Run follows stores until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	running := map[netip.AddrPort]context.CancelFunc{}
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		stores := f.Stores()
		for _, store := range stores {
			if running[store] == nil {
				storeCtx, cancel := context.WithCancel(ctx)
				running[store] = cancel
				tasks.Go(func() { f.follow(storeCtx, store) })
			}
		}
		for store, cancel := range running {
			if !slices.Contains(stores, store) {
				cancel()
				delete(running, store)
			}
		}
		select {
		case <-ctx.Done():
			for _, cancel := range running {
				cancel()
			}
			return nil
		case <-ticker.C:
		}
	}
}

// follow takes in updates of one store, from another replica after each failure.
func (f *Follower) follow(ctx context.Context, store netip.AddrPort) {
	for try := 0; ctx.Err() == nil; try++ {
		if replica := f.choose(store, try); replica.IsValid() {
			s := updates.Stream{
				Peer:    f.Peers.Get(replica),
				Method:  boragewick.MethodStore,
				Request: &boragewick.StoreRequest{Instance: f.Instance, Store: store},
				Take:    func(u *boragewick.EngineUpdate) { f.Observe(store, u) },
			}
			followed, err := s.Run(ctx)
			if followed {
				f.Observe(store, nil)
				_ = level.Info(f.Logger).Log("msg", "watcher of store lost", "store", store, "replica", replica, "err", err)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
}

// choose returns the replica to ask at a try. All routers ask the same few, in
// different orders.
func (f *Follower) choose(store netip.AddrPort, try int) netip.AddrPort {
	replicas := slices.Clone(f.Replicas())
	if len(replicas) == 0 {
		return netip.AddrPort{}
	}
	rank := func(a netip.AddrPort) uint64 { return xxh3.HashString(store.String() + " " + a.String()) }
	slices.SortFunc(replicas, func(a, b netip.AddrPort) int { return cmp.Compare(rank(a), rank(b)) })
	first := int(xxh3.HashString(f.Instance) % uint64(min(askedReplicas, len(replicas))))
	return replicas[(first+try)%len(replicas)]
}
