// Package index tracks which prompt blocks an agent's engine has cached.
package index

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// presumedTTLMillis is how long a block that a request has just used counts as
	// cached unless an event confirms it.
	presumedTTLMillis = 3000
	// maxReplayEvents is the number of events kept for replay until the repair.
	maxReplayEvents = 4096
	// maxRetiredEpochs is the number of earlier epochs that are kept to recognize
	// their late events.
	maxRetiredEpochs = 16
	// confirmed is the expiry time, in Unix milliseconds, of a block that the engine
	// has reported.
	confirmed = math.MaxInt64
)

// Index is an agent's view of its engine's cache, built from events that may be
// late or missing. The zero value is an empty index. It is safe for concurrent
// use.
type Index struct {
	// Clock is SystemClock if nil.
	Clock boragewick.Clock

	mu         sync.RWMutex
	epoch      boragewick.CacheEpoch
	lastNumber uint64
	blocks     table
	// gap is set if events were lost since the last repair.
	gap      bool
	replay   []boragewick.CacheEvent
	retired  []boragewick.CacheEpoch
	presumed []presumedBlocks
}

// presumedBlocks are the blocks presumed cached by one call of PresumeCached.
type presumedBlocks struct {
	expires int64
	blocks  []boragewick.BlockHash
}

// Reset empties the index if the epoch differs from the current one, and reports
// whether it does. An agent calls it as soon as it sees another run of the engine
// or other weights.
func (x *Index) Reset(epoch boragewick.CacheEpoch) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.retired = slices.DeleteFunc(x.retired, func(r boragewick.CacheEpoch) bool { return r == epoch })
	return x.switchEpoch(epoch)
}

// Apply updates the index with an event. It reports whether events are missing, so
// that the engine must be asked for a listing. Events of earlier epochs and
// duplicates have no effect.
func (x *Index) Apply(e boragewick.CacheEvent) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if slices.Contains(x.retired, e.Epoch) {
		return x.gap
	}
	x.switchEpoch(e.Epoch)
	if e.Number <= x.lastNumber {
		return x.gap
	}
	if e.Number != x.lastNumber+1 {
		x.gap = true
		x.replay = x.replay[:0]
	}
	if x.gap {
		x.bufferForReplay(e)
	}
	x.lastNumber = e.Number
	x.apply(e)
	return x.gap
}

// Replace replaces the confirmed blocks with a listing and replays the events
// after it. It reports whether another listing is needed.
func (x *Index) Replace(l boragewick.CacheListing) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if slices.Contains(x.retired, l.Epoch) {
		return x.gap
	}
	x.switchEpoch(l.Epoch)
	replay := x.eventsAfter(l.Number)
	if uint64(len(replay))+l.Number < x.lastNumber {
		return x.gap
	}
	x.replaceConfirmed(l.Blocks)
	for _, e := range replay {
		x.apply(e)
	}
	x.lastNumber = max(x.lastNumber, l.Number)
	x.gap = false
	x.replay = nil
	return false
}

// PresumeCached records that the engine is about to cache the blocks of a
// request. The blocks must not be changed afterwards.
func (x *Index) PresumeCached(blocks []boragewick.BlockHash) {
	now := x.now().UnixMilli()
	expires := now + presumedTTLMillis
	x.mu.Lock()
	defer x.mu.Unlock()
	x.expire(now)
	x.presumed = append(x.presumed, presumedBlocks{expires: expires, blocks: blocks})
	for _, b := range blocks {
		if x.blocks.get(b) != confirmed {
			x.blocks.put(b, expires)
		}
	}
}

// Matched returns the number of leading blocks that count as cached.
func (x *Index) Matched(blocks []boragewick.BlockHash) int {
	now := x.now().UnixMilli()
	x.mu.RLock()
	defer x.mu.RUnlock()
	for i, b := range blocks {
		if x.blocks.get(b) < now {
			return i
		}
	}
	return len(blocks)
}

// Len returns the number of blocks in the index.
func (x *Index) Len() int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.blocks.count
}

func (x *Index) now() time.Time {
	if x.Clock == nil {
		return boragewick.SystemClock.Now()
	}
	return x.Clock.Now()
}

func (x *Index) switchEpoch(epoch boragewick.CacheEpoch) bool {
	if epoch == x.epoch {
		return false
	}
	x.retired = append(x.retired, x.epoch)
	if len(x.retired) > maxRetiredEpochs {
		x.retired = x.retired[1:]
	}
	x.epoch = epoch
	x.lastNumber = 0
	x.gap = false
	x.replay = nil
	x.presumed = nil
	x.blocks = table{}
	return true
}

// bufferForReplay keeps an event until the repair. When the buffer is full, its
// older half is dropped, and only a listing that covers the dropped events can
// repair the index.
func (x *Index) bufferForReplay(e boragewick.CacheEvent) {
	if len(x.replay) == maxReplayEvents {
		x.replay = append(x.replay[:0], x.replay[maxReplayEvents/2:]...)
	}
	x.replay = append(x.replay, e)
}

// expire removes presumed blocks that were not confirmed in time.
func (x *Index) expire(now int64) {
	n := 0
	for n < len(x.presumed) && x.presumed[n].expires < now {
		for _, b := range x.presumed[n].blocks {
			if x.blocks.get(b) < now {
				x.blocks.remove(b)
			}
		}
		n++
	}
	x.presumed = slices.Delete(x.presumed, 0, n)
}

// apply updates the blocks with an event. A removal does not affect a block that is
// only presumed cached, because it is older than the request that used the block.
func (x *Index) apply(e boragewick.CacheEvent) {
	switch e.Kind {
	case boragewick.CacheStored:
		for _, b := range e.Blocks {
			x.blocks.put(b, confirmed)
		}
	case boragewick.CacheRemoved:
		for _, b := range e.Blocks {
			if x.blocks.get(b) == confirmed {
				x.blocks.remove(b)
			}
		}
	case boragewick.CacheCleared:
		x.blocks = table{}
	}
}

// eventsAfter returns the events in the replay buffer after the given number.
func (x *Index) eventsAfter(number uint64) []boragewick.CacheEvent {
	for i, e := range x.replay {
		if e.Number > number {
			return x.replay[i:]
		}
	}
	return nil
}

// replaceConfirmed makes the given blocks the only confirmed ones.
func (x *Index) replaceConfirmed(blocks []boragewick.BlockHash) {
	x.blocks.filter(func(_ boragewick.BlockHash, expires int64) bool { return expires != confirmed })
	for _, b := range blocks {
		x.blocks.put(b, confirmed)
	}
}
