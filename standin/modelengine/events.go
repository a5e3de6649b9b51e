package modelengine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/boragewick/boragewick"
)

// event is a cache event on its way.
type event struct {
	at   time.Time
	lost bool
	line boragewick.EngineEvent
}

// publish adds an event. The caller holds mu.
func (e *Engine) publish(change boragewick.CacheEventKind, blocks []boragewick.BlockHash) {
	if len(blocks) == 0 && change != boragewick.CacheCleared {
		return
	}
	e.seq++
	e.events = append(e.events, event{
		at:   time.Now().Add(e.EventDelay),
		lost: e.rand.Float64() < e.EventLoss,
		line: boragewick.EngineEvent{Epoch: e.epoch, Sequence: e.seq, Change: change, Blocks: blocks},
	})
	if len(e.events) > keptEvents {
		e.events = e.events[len(e.events)-keptEvents/2:]
	}
	close(e.pulse)
	e.pulse = make(chan struct{})
}

// follow streams the events after the sequence number "from" as JSON lines. A
// line without a change is a heartbeat: it tells the sequence number up to
// which the events were sent or lost.
func (e *Engine) follow(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	e.mu.Lock()
	dead, epoch := e.dead, e.epoch
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/x-ndjson")
	enc := json.NewEncoder(w)
	line := &boragewick.EngineEvent{Epoch: epoch, Sequence: from}
	for {
		if enc.Encode(line) != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		heartbeat := time.NewTimer(heartbeatEvery)
		line = e.awaitEvent(r.Context(), dead, &from, heartbeat.C)
		heartbeat.Stop()
		if line == nil {
			return
		}
	}
}

// awaitEvent returns the next event that is not lost, a heartbeat, or nil once
// the connection is gone.
func (e *Engine) awaitEvent(ctx context.Context, dead chan struct{}, from *uint64, heartbeat <-chan time.Time) *boragewick.EngineEvent {
	for {
		next, wait, pulse := e.nextEvent(dead, *from)
		if next != nil {
			*from = next.line.Sequence
			if !next.lost {
				return &next.line
			}
			continue
		}
		var due <-chan time.Time
		if wait > 0 {
			due = time.After(wait)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-dead:
			panic(http.ErrAbortHandler)
		case <-heartbeat:
			e.mu.Lock()
			defer e.mu.Unlock()
			return &boragewick.EngineEvent{Epoch: e.epoch, Sequence: *from}
		case <-pulse:
		case <-due:
		}
	}
}

// nextEvent returns the first event after from, or how long to wait for it.
func (e *Engine) nextEvent(dead chan struct{}, from uint64) (*event, time.Duration, chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead != dead || len(e.events) == 0 {
		return nil, 0, e.pulse
	}
	i := max(0, int(from)+1-int(e.events[0].line.Sequence))
	if i >= len(e.events) {
		return nil, 0, e.pulse
	}
	if wait := time.Until(e.events[i].at); wait > 0 {
		return nil, wait, e.pulse
	}
	next := e.events[i]
	return &next, 0, nil
}

// list answers with everything in the cache.
func (e *Engine) list(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	line := boragewick.EngineListing{Epoch: e.epoch, Sequence: e.seq, Blocks: e.cache.all()}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, line)
}

// report answers with the load as it was LoadLag ago.
func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	waiting := 0
	e.active = slices.DeleteFunc(e.active, (*run).done)
	for _, r := range e.active {
		if !r.looked {
			waiting++
		}
	}
	e.reports = append(e.reports, boragewick.EngineLoad{
		Epoch: e.epoch, At: now, Waiting: waiting, Running: len(e.active) - waiting,
		CachedBlocks: len(e.cache.blocks), Models: append([]boragewick.Model{}, e.models...),
	})
	for len(e.reports) > 1 && now.Sub(e.reports[1].At) >= e.LoadLag {
		e.reports = e.reports[1:]
	}
	oldest := e.reports[0]
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, oldest)
}
