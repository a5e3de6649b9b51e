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

// event is a cache event that is sent at sendAt, or never if it is lost.
type event struct {
	sendAt time.Time
	lost   bool
	line   boragewick.EngineEvent
}

// publish appends an event and wakes the streams. It ignores a change without
// blocks unless it is CacheCleared. The caller holds mu.
func (e *Engine) publish(change boragewick.CacheEventKind, blocks []boragewick.BlockHash) {
	if len(blocks) == 0 && change != boragewick.CacheCleared {
		return
	}
	e.seq++
	e.events = append(e.events, event{
		sendAt: time.Now().Add(e.EventDelay),
		lost:   e.rand.Float64() < e.EventLoss,
		line:   boragewick.EngineEvent{Epoch: e.epoch, Sequence: e.seq, Change: change, Blocks: blocks},
	})
	if len(e.events) > maxRetainedEvents {
		e.events = e.events[len(e.events)-maxRetainedEvents/2:]
	}
	close(e.eventAdded)
	e.eventAdded = make(chan struct{})
}

// streamEvents streams the events after the sequence number "from" as JSON
// lines. A line without a change is a heartbeat: its sequence number is the one
// up to which events were sent or lost.
func (e *Engine) streamEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	e.mu.Lock()
	epochEnded, epoch := e.epochEnded, e.epoch
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/x-ndjson")
	enc := json.NewEncoder(w)
	line := &boragewick.EngineEvent{Epoch: epoch, Sequence: from}
	for {
		if enc.Encode(line) != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		heartbeat := time.NewTimer(heartbeatInterval)
		line = e.awaitEvent(r.Context(), epochEnded, &from, heartbeat.C)
		heartbeat.Stop()
		if line == nil {
			return
		}
	}
}

// awaitEvent returns the next event that is not lost, or a heartbeat, or nil
// when the connection is closed. It aborts the response when the epoch ends.
func (e *Engine) awaitEvent(ctx context.Context, epochEnded chan struct{}, from *uint64, heartbeat <-chan time.Time) *boragewick.EngineEvent {
	for {
		next, wait, eventAdded := e.nextEvent(epochEnded, *from)
		if next != nil {
			*from = next.line.Sequence
			if !next.lost {
				return &next.line
			}
			continue
		}
		var sendDue <-chan time.Time
		if wait > 0 {
			sendDue = time.After(wait)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-epochEnded:
			panic(http.ErrAbortHandler)
		case <-heartbeat:
			e.mu.Lock()
			defer e.mu.Unlock()
			return &boragewick.EngineEvent{Epoch: e.epoch, Sequence: *from}
		case <-eventAdded:
		case <-sendDue:
		}
	}
}

// nextEvent returns the first event after from. If there is none that is due,
// it returns a channel that is closed when an event is added and, if the event
// is not due yet, the time until then.
func (e *Engine) nextEvent(epochEnded chan struct{}, from uint64) (*event, time.Duration, chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.epochEnded != epochEnded || len(e.events) == 0 {
		return nil, 0, e.eventAdded
	}
	i := max(0, int(from)+1-int(e.events[0].line.Sequence))
	if i >= len(e.events) {
		return nil, 0, e.eventAdded
	}
	if wait := time.Until(e.events[i].sendAt); wait > 0 {
		return nil, wait, e.eventAdded
	}
	next := e.events[i]
	return &next, 0, nil
}

// listBlocks returns all cached blocks.
func (e *Engine) listBlocks(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	listing := boragewick.EngineListing{Epoch: e.epoch, Sequence: e.seq, Blocks: e.cache.all()}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, listing)
}

// reportLoad records the current load and returns the newest record that is at
// least LoadLag old, or the oldest one if there is none.
func (e *Engine) reportLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	waiting := 0
	e.active = slices.DeleteFunc(e.active, (*run).done)
	for _, r := range e.active {
		if !r.cacheChecked {
			waiting++
		}
	}
	e.loadReports = append(e.loadReports, boragewick.EngineLoad{
		Epoch: e.epoch, At: now, Waiting: waiting, Running: len(e.active) - waiting,
		CachedBlocks: len(e.cache.blocks), Models: append([]boragewick.Model{}, e.models...),
	})
	for len(e.loadReports) > 1 && now.Sub(e.loadReports[1].At) >= e.LoadLag {
		e.loadReports = e.loadReports[1:]
	}
	oldest := e.loadReports[0]
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, oldest)
}
