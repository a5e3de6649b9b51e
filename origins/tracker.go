// Package origins tells control replicas where a router's streams began, and asks them
// where a stream began that a caller takes up at this router.
package origins

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/originstore"
	"github.com/boragewick/boragewick/outbox"
)

const (
	// batchWindow is how long origins are collected before they are sent.
	batchWindow = 100 * time.Millisecond
	// checkInterval is how often the origins of streams that began while their pools had
	// one build are checked for pools that have several now.
	checkInterval = 250 * time.Millisecond
	// minRetention is how long an origin is kept at least, to tell replicas of it that restart.
	minRetention = 20 * time.Second
	// maxUnsent bounds the origins of streams that began while their pools had one build.
	maxUnsent = 1 << 14
	// maxBatch bounds the origins of one report.
	maxBatch = 1 << 12
)

// Tracker is a boragewick.StreamOrigins. Its fields are set before Run.
type Tracker struct {
	// Instance identifies this router.
	Instance string
	// Builds returns the builds with which endpoints of the pool may serve.
	Builds func(pool string) []boragewick.Build
	// Replicas returns the known control replicas, and Peer the link to one of them.
	Replicas func() []netip.AddrPort
	Peer     func(addr netip.AddrPort) boragewick.Peer
	Clock    boragewick.Clock
	Logger   log.Logger
	Metrics  metrics.Registry

	known originstore.Store

	mu     sync.Mutex
	wakeCh chan struct{}
	// told are the origins of which replicas are told, and again once they have restarted.
	told   outbox.Outbox[boragewick.StreamOrigin]
	unsent []unsentOrigin
	// sending are the copies for which a report is on its way, and failing those for which the
	// last one was not delivered.
	sending, failing [copies]bool
	// dropped counts the origins that were dropped since it was last logged.
	dropped int
}

var _ boragewick.StreamOrigins = (*Tracker)(nil)

// unsentOrigin is the origin of a stream that began while its pools had one build.
type unsentOrigin struct {
	boragewick.StreamOrigin
	pools []string
	until time.Time
}

// Record implements boragewick.StreamOrigins. While the pools have a single build the
// replicas aren't told.
func (t *Tracker) Record(o boragewick.StreamOrigin, pools []string, until time.Time) {
	if o.Build == 0 {
		return
	}
	now := t.Clock.Now()
	t.known.Put(o, now)
	if least := now.Add(minRetention); until.Before(least) {
		until = least
	}
	single := len(t.builds(pools)) == 1
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case single && len(t.unsent) < maxUnsent:
		t.unsent = append(t.unsent, unsentOrigin{o, pools, until})
	case !single:
		t.told.Add(o, until)
		t.wake()
	default:
		t.dropped++
	}
}

// builds returns the builds with which endpoints of the pools may serve.
func (t *Tracker) builds(pools []string) []boragewick.Build {
	var list []boragewick.Build
	for _, pool := range pools {
		list = append(list, t.Builds(pool)...)
	}
	return list
}

// Run tells the replicas of origins until ctx is done.
func (t *Tracker) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	t.mu.Lock()
	wake := t.wakeChannel()
	t.mu.Unlock()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
			boragewick.Sleep(ctx, batchWindow)
		case <-ticker.C:
			t.checkUnsent()
		}
		t.send(ctx, &tasks)
	}
}

// checkUnsent has replicas told of the origins whose pools have several builds now, and
// forgets old ones.
func (t *Tracker) checkUnsent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	t.unsent = slices.DeleteFunc(t.unsent, func(o unsentOrigin) bool {
		if now.After(o.until) {
			return true
		}
		if len(t.builds(o.pools)) <= 1 {
			return false
		}
		t.told.Add(o.StreamOrigin, o.until)
		return true
	})
	if t.dropped > 0 {
		_ = level.Warn(t.Logger).Log("msg", "origins of streams dropped", "dropped", t.dropped)
		t.dropped = 0
	}
}

// Find implements boragewick.StreamOrigins.
func (t *Tracker) Find(ctx context.Context, key boragewick.StreamKey, pools []string) (boragewick.Build, error) {
	if b := t.known.Get(key, t.Clock.Now()); b != 0 {
		return b, nil
	}
	err := errors.Wrap(boragewick.ErrUnknownOrigin, "not asked")
	for attempt := range findAttempts {
		if attempt > 0 {
			boragewick.Sleep(ctx, findPause)
		}
		var b boragewick.Build
		if b, err = t.ask(ctx, &boragewick.OriginQuery{Key: key, Pools: pools}); err == nil {
			t.count("origins.found")
			return b, nil
		}
	}
	t.count("origins.unknown")
	return 0, err
}

// wake has Run send the batch; the caller holds mu.
func (t *Tracker) wake() {
	select {
	case t.wakeChannel() <- struct{}{}:
	default: // Run has not yet taken the batch
	}
}

// wakeChannel returns the channel on which Run waits; the caller holds mu.
func (t *Tracker) wakeChannel() chan struct{} {
	if t.wakeCh == nil {
		t.wakeCh = make(chan struct{}, 1)
	}
	return t.wakeCh
}

func (t *Tracker) count(name string) {
	if t.Metrics != nil {
		metrics.GetOrRegisterCounter(name, t.Metrics).Inc(1)
	}
}
