// Package enginewatch watches an engine or a store and tells routers its load
// and what it has cached.
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
	// reportEvery is how often the engine is asked for its load, which costs
	// nothing from its own machine.
	reportEvery = 20 * time.Millisecond
	// eventsWait is how long a call for events waits for some.
	eventsWait = time.Second
	// storeWait is the same for stores, where no other call tells that one is
	// down. Shorter ones are charged for.
	storeWait = 250 * time.Millisecond
	// retryPause is the time after a failed call.
	retryPause = 300 * time.Millisecond
	// callTimeout bounds a call for the load, which needs no place in the engine.
	callTimeout = 200 * time.Millisecond
	// maxFailures is the number of failed calls in a row after which the engine
	// counts as down.
	maxFailures = 2
	// leastGap is the least time between two updates to a router, and
	// gapPerRouter what each router adds, as each reads the updates of all
	// engines.
	leastGap     = 20 * time.Millisecond
	gapPerRouter = 500 * time.Microsecond
	// quietGap is the longest time between two updates.
	quietGap = time.Second
)

// Watcher watches one engine. Its fields are set before Run.
type Watcher struct {
	Engine boragewick.EngineProbe
	Addr   netip.AddrPort
	// CacheOnly tells that there is no load to ask for, as at a store. It is down
	// when it doesn't answer for its events.
	CacheOnly bool
	Logger    log.Logger

	mu   sync.Mutex
	load boragewick.EngineReport
	// failures counts the failed calls in a row.
	failures int
	parts    map[uint64]part
	epoch    int64
	resets   uint64
	version  uint64
	routers  int
	changed  chan struct{}
}

// part is a cached part with the version of its last change.
type part struct {
	tokens  int
	version uint64
}

// Run watches the engine until ctx is done.
func (w *Watcher) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	if w.CacheOnly {
		w.watchEvents(ctx, storeWait)
		return nil
	}
	tasks.Go(func() { w.watchEvents(ctx, eventsWait) })
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			w.report(ctx)
		}
	}
}

// report takes in the engine's load, or that it doesn't answer.
func (w *Watcher) report(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := w.Engine.Report(callCtx, "", w.Addr)
	if ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		if r.Queued != w.load.Queued || r.Active != w.load.Active || r.Prefilling != w.load.Prefilling {
			w.wake()
		}
		w.load = r
	}
	w.noteCall(err)
}

// noteCall counts failures in a row; the caller holds mu.
func (w *Watcher) noteCall(err error) {
	wasDown := w.down()
	w.failures++
	if err == nil {
		w.failures = 0
	}
	if w.down() != wasDown {
		_ = level.Warn(w.Logger).Log("msg", "engine beside", "addr", w.Addr, "store", w.CacheOnly, "down", w.down(), "err", err)
		w.wake()
	}
}

// down reports whether the engine counts as down; the caller holds mu.
func (w *Watcher) down() bool {
	return w.failures >= maxFailures || w.CacheOnly && w.failures > 0
}

// watchEvents takes in the changes of the cache.
func (w *Watcher) watchEvents(ctx context.Context, wait time.Duration) {
	var since int64
	for ctx.Err() == nil {
		e, err := w.Engine.Events(ctx, w.Addr, since, wait)
		if w.CacheOnly && ctx.Err() == nil {
			w.mu.Lock()
			w.noteCall(err)
			w.mu.Unlock()
		}
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(retryPause):
			}
			continue
		}
		since = w.take(&e)
	}
}

// take takes in a batch and returns where the next one goes on.
func (w *Watcher) take(e *boragewick.EngineEvents) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.parts == nil || e.Epoch != w.epoch {
		if w.epoch != 0 {
			_ = level.Info(w.Logger).Log("msg", "engine restarted", "addr", w.Addr, "epoch", e.Epoch)
		}
		w.parts = map[uint64]part{}
		w.epoch = e.Epoch
		w.resets++
		w.wake()
	}
	if e.Lost {
		_ = level.Info(w.Logger).Log("msg", "cache events lost", "addr", w.Addr, "next", e.Next)
	}
	for _, p := range e.Parts {
		w.version++
		w.parts[p.Key] = part{p.Tokens, w.version}
	}
	if len(e.Parts) > 0 {
		w.wake()
	}
	return e.Next
}

// wake tells the streams of a change; the caller holds mu.
func (w *Watcher) wake() {
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

// Stream sends a router all that is known, and every change of it.
func (w *Watcher) Stream(ctx context.Context, s boragewick.Stream) error {
	w.count(1)
	defer w.count(-1)
	var resets, version uint64
	for {
		u, changed, gap := w.next(&resets, &version)
		if err := s.Send(ctx, &u); err != nil {
			return err
		}
		if err := pause(ctx, changed, gap); err != nil {
			return err
		}
	}
}

// count notes that a router has come or gone.
func (w *Watcher) count(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.routers += n
}

// next returns what has changed since the version.
func (w *Watcher) next(resets, version *uint64) (boragewick.EngineUpdate, <-chan struct{}, time.Duration) {
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
	return u, w.changed, leastGap + time.Duration(w.routers)*gapPerRouter
}

// pause waits for a change, and at least as long as the gap.
func pause(ctx context.Context, changed <-chan struct{}, gap time.Duration) error {
	for _, wait := range []struct {
		changed <-chan struct{}
		most    time.Duration
	}{{nil, gap}, {changed, quietGap - gap}} {
		timer := time.NewTimer(wait.most)
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
