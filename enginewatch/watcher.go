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
	"github.com/boragewick/boragewick/enginestate"
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

	state enginestate.State

	mu sync.Mutex
	// failures is the number of consecutive failed requests.
	failures int
	// synced reports whether events have been received, of the start that epoch
	// identifies.
	synced  bool
	epoch   int64
	routers int
}

// State returns the state of the engine, which Run keeps up to date.
func (w *Watcher) State() *enginestate.State { return &w.state }

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
	if err == nil {
		w.state.SetLoad(&r)
	}
	w.recordCall(err)
}

// recordCall counts consecutive failures and records whether the engine is down.
func (w *Watcher) recordCall(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures++
	if err == nil {
		w.failures = 0
	}
	down := w.failures >= maxFailures || w.CacheOnly && w.failures > 0
	if w.state.SetDown(down) {
		_ = level.Warn(w.Logger).Log("msg", "engine beside", "addr", w.Addr, "store", w.CacheOnly, "down", down, "err", err)
	}
}

// watchEvents requests cache events and applies them until ctx is done.
func (w *Watcher) watchEvents(ctx context.Context, wait time.Duration) {
	var since int64
	for ctx.Err() == nil {
		e, err := w.Engine.Events(ctx, w.Addr, since, wait)
		if w.CacheOnly && ctx.Err() == nil {
			w.recordCall(err)
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
	if !w.synced || e.Epoch != w.epoch {
		if w.synced {
			_ = level.Info(w.Logger).Log("msg", "engine restarted", "addr", w.Addr, "epoch", e.Epoch)
		}
		w.synced = true
		w.epoch = e.Epoch
		w.state.Reset()
	}
	if e.Lost {
		_ = level.Info(w.Logger).Log("msg", "cache events lost", "addr", w.Addr, "next", e.Next)
	}
	w.state.AddParts(e.Parts)
	return e.Next
}

// Serve streams updates to one router.
func (w *Watcher) Serve(ctx context.Context, s boragewick.Stream) error {
	var req boragewick.WatchRequest
	if err := s.Recv(ctx, &req); err != nil {
		return err
	}
	if req.OrdersOnly {
		return w.streamOrders(ctx, s)
	}
	return w.Stream(ctx, s)
}

// streamOrders sends the state and then the changes that concern orders.
func (w *Watcher) streamOrders(ctx context.Context, s boragewick.Stream) error {
	cursor := enginestate.Cursor{OrdersOnly: true}
	sentAt := time.Time{}
	for {
		if u, isNew := w.state.Next(&cursor); isNew || time.Since(sentAt) >= maxUpdateInterval {
			if err := s.Send(ctx, &u); err != nil {
				return err
			}
			sentAt = time.Now()
		}
		if err := waitFor(ctx, enginestate.Interval(0)); err != nil {
			return err
		}
	}
}

// Stream sends a router the full state and then its changes.
func (w *Watcher) Stream(ctx context.Context, s boragewick.Stream) error {
	w.addRouters(1)
	defer w.addRouters(-1)
	var cursor enginestate.Cursor
	for {
		changed := w.state.Changed()
		u, _ := w.state.Next(&cursor)
		if err := s.Send(ctx, &u); err != nil {
			return err
		}
		if w.state.IsBehind(&cursor) {
			changed = closedChan
		}
		if err := waitForUpdate(ctx, changed, enginestate.Interval(w.addRouters(0))); err != nil {
			return err
		}
	}
}

// closedChan is a channel without a wait.
var closedChan = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// addRouters adds n to the number of connected routers and returns the sum.
func (w *Watcher) addRouters(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.routers += n
	return w.routers
}

// waitFor waits for the duration or until ctx is done.
func waitFor(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
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
