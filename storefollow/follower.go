// Package storefollow receives updates of the contents of a deployment's KV
// cache stores. Control replicas send them to routers.
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
	// pollInterval is how often the set of stores is read.
	pollInterval = 300 * time.Millisecond
	// retryInterval is the time between two attempts to follow a store.
	retryInterval = 200 * time.Millisecond
	// preferredReplicas is the number of control replicas among which routers
	// choose first. It is small because each replica that is asked takes up one
	// of the few watchers that a store accepts.
	preferredReplicas = 3
)

// Follower receives the updates of every store. Its fields are set before Run.
type Follower struct {
	// Instance identifies this router.
	Instance string
	Peers    *peers.Pool
	// Stores and Replicas return the currently known stores and control
	// replicas.
	Stores   func() []netip.AddrPort
	Replicas func() []netip.AddrPort
	// OnUpdate is called with each update of a store, and with nil when the
	// store's contents are no longer known.
	OnUpdate func(store netip.AddrPort, u *boragewick.EngineUpdate)
	Logger   log.Logger
}

// Run follows stores until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	cancels := map[netip.AddrPort]context.CancelFunc{}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		stores := f.Stores()
		for _, store := range stores {
			if cancels[store] == nil {
				storeCtx, cancel := context.WithCancel(ctx)
				cancels[store] = cancel
				tasks.Go(func() { f.follow(storeCtx, store) })
			}
		}
		for store, cancel := range cancels {
			if !slices.Contains(stores, store) {
				cancel()
				delete(cancels, store)
			}
		}
		select {
		case <-ctx.Done():
			for _, cancel := range cancels {
				cancel()
			}
			return nil
		case <-ticker.C:
		}
	}
}

// follow receives updates of one store. After each failure it asks the next
// replica.
func (f *Follower) follow(ctx context.Context, store netip.AddrPort) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if replica := f.chooseReplica(store, attempt); replica.IsValid() {
			s := updates.Stream[boragewick.EngineUpdate]{
				Peer:     f.Peers.Get(replica),
				Method:   boragewick.MethodStore,
				Request:  &boragewick.StoreRequest{Instance: f.Instance, Store: store},
				OnUpdate: func(u *boragewick.EngineUpdate) { f.OnUpdate(store, u) },
			}
			received, err := s.Run(ctx)
			if received {
				f.OnUpdate(store, nil)
				_ = level.Info(f.Logger).Log("msg", "watcher of store lost", "store", store, "replica", replica, "err", err)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// chooseReplica returns the replica to ask at the given attempt. All routers
// rank the replicas of a store alike and start at one of the first
// preferredReplicas, depending on their Instance.
func (f *Follower) chooseReplica(store netip.AddrPort, attempt int) netip.AddrPort {
	replicas := slices.Clone(f.Replicas())
	if len(replicas) == 0 {
		return netip.AddrPort{}
	}
	rank := func(a netip.AddrPort) uint64 { return xxh3.HashString(store.String() + " " + a.String()) }
	slices.SortFunc(replicas, func(a, b netip.AddrPort) int { return cmp.Compare(rank(a), rank(b)) })
	first := int(xxh3.HashString(f.Instance) % uint64(min(preferredReplicas, len(replicas))))
	return replicas[(first+attempt)%len(replicas)]
}
