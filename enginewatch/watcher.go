// Package enginewatch monitors an engine or a store and streams its load and the
// content of its cache to routers.
package enginewatch

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

const (
	// loadPollInterval is the interval at which the engine's load is requested.
	// Requests from the engine's own machine cost nothing.
	loadPollInterval = 20 * time.Millisecond
	// engineEventsWait is how long a request for an engine's events waits for some.
	engineEventsWait = time.Second
	// storeEventsWait is the same for stores, where no other request shows that one
	// is down. Shorter waits are charged for.
	storeEventsWait = 250 * time.Millisecond
	// retryDelay is the delay before events are requested again after a failure.
	retryDelay = 300 * time.Millisecond
	// loadTimeout bounds a load request, which does not need a slot in the engine.
	loadTimeout = 200 * time.Millisecond
	// maxFailures is the number of consecutive failed requests after which the
	// engine counts as down.
	maxFailures = 2
	// minUpdateInterval is the minimum time between updates to a router.
	// intervalPerRouter is added for each router, because every router reads the
	// updates of all engines.
	minUpdateInterval = 20 * time.Millisecond
	intervalPerRouter = 500 * time.Microsecond
	// maxUpdateInterval is the maximum time between updates.
	maxUpdateInterval = time.Second
)

// Watcher monitors one engine or store. Its fields are set before Run.
type Watcher struct {
	Engine boragewick.EngineProbe
	Addr   netip.AddrPort
	// CacheOnly is set if there is no load to request, as with a store. A store
	// counts as down once one request for its events has failed.
	CacheOnly bool
	Logger    log.Logger

	mu   sync.Mutex
	load boragewick.EngineReport
	// failures is the number of consecutive failed requests.
	failures int
	parts    map[uint64]cachedPart
	epoch    int64
	resets   uint64
	version  uint64
	routers  int
	changed  chan struct{}
}

// cachedPart is a cached part of a prompt with the version of its last change.
type cachedPart struct {
	tokens  int
	version uint64
}

// Run watches the engine until ctx is done.
func (w *Watcher) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	if w.CacheOnly {
		w.watchEvents(ctx, storeEventsWait)
		return nil
	}
	wg.Go(func() { w.watchEvents(ctx, engineEventsWait) })
	ticker := time.NewTicker(loadPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			w.pollLoad(ctx)
		}
	}
}

// pollLoad requests the engine's load and records it, or the failure.
func (w *Watcher) pollLoad(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	r, err := w.Engine.Report(callCtx, "", w.Addr)
	if ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		if r.Queued != w.load.Queued || r.Active != w.load.Active || r.Prefilling != w.load.Prefilling {
			w.notifyStreams()
		}
		w.load = r
	}
	w.recordCall(err)
}

// recordCall counts consecutive failures and notifies the streams if the engine has
// gone down or come back. The caller holds mu.
func (w *Watcher) recordCall(err error) {
	wasDown := w.down()
	w.failures++
	if err == nil {
		w.failures = 0
	}
	if w.down() != wasDown {
		_ = level.Warn(w.Logger).Log("msg", "engine beside", "addr", w.Addr, "store", w.CacheOnly, "down", w.down(), "err", err)
		w.notifyStreams()
	}
}

// down reports whether the engine counts as down; the caller holds mu.
func (w *Watcher) down() bool {
	return w.failures >= maxFailures || w.CacheOnly && w.failures > 0
}

// watchEvents requests cache events and applies them until ctx is done.
func (w *Watcher) watchEvents(ctx context.Context, wait time.Duration) {
	var since int64
	for ctx.Err() == nil {
		e, err := w.Engine.Events(ctx, w.Addr, since, wait)
		if w.CacheOnly && ctx.Err() == nil {
			w.mu.Lock()
			w.recordCall(err)
			w.mu.Unlock()
		}
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(retryDelay):
			}
			continue
		}
		since = w.applyEvents(&e)
	}
}

// applyEvents applies a batch of events and returns the position after which the
// next batch starts.
func (w *Watcher) applyEvents(e *boragewick.EngineEvents) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.parts == nil || e.Epoch != w.epoch {
		if w.epoch != 0 {
			_ = level.Info(w.Logger).Log("msg", "engine restarted", "addr", w.Addr, "epoch", e.Epoch)
		}
		w.parts = map[uint64]cachedPart{}
		w.epoch = e.Epoch
		w.resets++
		w.notifyStreams()
	}
	if e.Lost {
		_ = level.Info(w.Logger).Log("msg", "cache events lost", "addr", w.Addr, "next", e.Next)
	}
	for _, p := range e.Parts {
		w.version++
		w.parts[p.Key] = cachedPart{p.Tokens, w.version}
	}
	if len(e.Parts) > 0 {
		w.notifyStreams()
	}
	return e.Next
}

// notifyStreams wakes the streams after a change. The caller holds mu.
func (w *Watcher) notifyStreams() {
	if w.changed != nil {
		close(w.changed)
		w.changed = nil
	}
}

// Serve streams updates to one router.
func (w *Watcher) Serve(ctx context.Context, s boragewick.Stream) error {
	var req boragewick.WatchRequest
	if err := s.Recv(ctx, &req); err != nil {
		return err
	}
	return w.Stream(ctx, s)
}

// Stream sends a router the full state and then its changes.
func (w *Watcher) Stream(ctx context.Context, s boragewick.Stream) error {
	w.addRouters(1)
	defer w.addRouters(-1)
	var resets, version uint64
	for {
		u, changed, gap := w.nextUpdate(&resets, &version)
		if err := s.Send(ctx, &u); err != nil {
			return err
		}
		if err := waitForUpdate(ctx, changed, gap); err != nil {
			return err
		}
	}
}

// addRouters adds n to the number of connected routers.
func (w *Watcher) addRouters(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.routers += n
}

// nextUpdate returns an update with the current load and the parts that have changed
// since the version, a channel that is closed on the next change, and the minimum
// time until the next update. It advances resets and version.
func (w *Watcher) nextUpdate(resets, version *uint64) (boragewick.EngineUpdate, <-chan struct{}, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := boragewick.EngineUpdate{
		Queued:     w.load.Queued,
		Active:     w.load.Active,
		Prefilling: w.load.Prefilling,
		Used:       w.load.Used,
		Total:      w.load.Total,
		Down:       w.down(),
	}
	if *resets != w.resets {
		u.Reset = true
		*resets, *version = w.resets, 0
	}
	for key, p := range w.parts {
		if p.version > *version {
			u.Parts = append(u.Parts, boragewick.CachedPart{Key: key, Tokens: p.tokens})
		}
	}
	*version = w.version
	if w.changed == nil {
		w.changed = make(chan struct{})
	}
	return u, w.changed, minUpdateInterval + time.Duration(w.routers)*intervalPerRouter
}

// waitForUpdate waits for the gap and then, until maxUpdateInterval has passed, for a
// change.
func waitForUpdate(ctx context.Context, changed <-chan struct{}, gap time.Duration) error {
	for _, wait := range []struct {
		changed <-chan struct{}
		limit   time.Duration
	}{{nil, gap}, {changed, maxUpdateInterval - gap}} {
		timer := time.NewTimer(wait.limit)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-wait.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}
