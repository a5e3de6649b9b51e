// Package index keeps an agent's view of what its engine has cached.
package index

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// presumedMilliseconds is how long a block counts as cached because a
	// request just used it, unless an event confirms it.
	presumedMilliseconds = 3000
	// maxReplay is the number of events kept while a repair is awaited.
	maxReplay = 4096
	// maxRetired is the number of earlier epochs whose late events are known.
	maxRetired = 16
	// confirmed is the instant in Unix milliseconds until which a block counts
	// that the engine has told of.
	confirmed = math.MaxInt64
)

// Index is an agent's view of its engine's cache, built from events that come
// late and with gaps. The zero value is an empty index. It is safe for
// concurrent use.
type Index struct {
	// Clock defaults to the clock of the instance.
	Clock boragewick.Clock

	mu     sync.RWMutex
	epoch  boragewick.CacheEpoch
	number uint64
	blocks table
	// gap tells that events were lost since the last repair.
	gap     bool
	replay  []boragewick.CacheEvent
	retired []boragewick.CacheEpoch
	learned []learned
}

// learned is a list of blocks that were presumed together.
type learned struct {
	until  int64
	blocks []boragewick.BlockHash
}

// Reset empties the index when the epoch is a new one, and reports whether it
// was. An agent calls it as soon as it sees another run of the engine or other
// weights.
func (x *Index) Reset(epoch boragewick.CacheEpoch) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.retired = slices.DeleteFunc(x.retired, func(r boragewick.CacheEpoch) bool { return r == epoch })
	return x.reset(epoch)
}

// Apply takes in an event. It reports whether the engine must be asked for a
// listing, because events are missing. Events of earlier epochs and repeated
// events have no effect.
func (x *Index) Apply(e boragewick.CacheEvent) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if slices.Contains(x.retired, e.Epoch) {
		return x.gap
	}
	x.reset(e.Epoch)
	if e.Number <= x.number {
		return x.gap
	}
	if e.Number != x.number+1 {
		x.gap = true
		x.replay = x.replay[:0]
	}
	if x.gap {
		x.keep(e)
	}
	x.number = e.Number
	x.apply(e)
	return x.gap
}

// Repair replaces the content by a listing and what came after it. It reports
// whether another listing is needed.
func (x *Index) Repair(l boragewick.CacheListing) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if slices.Contains(x.retired, l.Epoch) {
		return x.gap
	}
	x.reset(l.Epoch)
	replay := x.after(l.Number)
	if uint64(len(replay))+l.Number < x.number {
		return x.gap
	}
	x.replaceConfirmed(l.Blocks)
	for _, e := range replay {
		x.apply(e)
	}
	x.number = max(x.number, l.Number)
	x.gap = false
	x.replay = nil
	return false
}

// Learn notes that the engine is about to hold the blocks of a request. The
// blocks must not be changed afterwards.
func (x *Index) Learn(blocks []boragewick.BlockHash) {
	now := x.now().UnixMilli()
	until := now + presumedMilliseconds
	x.mu.Lock()
	defer x.mu.Unlock()
	x.expire(now)
	x.learned = append(x.learned, learned{until: until, blocks: blocks})
	for _, b := range blocks {
		if x.blocks.get(b) != confirmed {
			x.blocks.put(b, until)
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

// Len returns the number of blocks kept.
func (x *Index) Len() int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.blocks.n
}

func (x *Index) now() time.Time {
	if x.Clock == nil {
		return boragewick.SystemClock.Now()
	}
	return x.Clock.Now()
}

func (x *Index) reset(epoch boragewick.CacheEpoch) bool {
	if epoch == x.epoch {
		return false
	}
	x.retired = append(x.retired, x.epoch)
	if len(x.retired) > maxRetired {
		x.retired = x.retired[1:]
	}
	x.epoch = epoch
	x.number = 0
	x.gap = false
	x.replay = nil
	x.learned = nil
	x.blocks = table{}
	return true
}

// keep remembers an event until the repair. When there are too many, the older
// half is given up, and only a listing that is newer than it will do.
func (x *Index) keep(e boragewick.CacheEvent) {
	if len(x.replay) == maxReplay {
		x.replay = append(x.replay[:0], x.replay[maxReplay/2:]...)
	}
	x.replay = append(x.replay, e)
}

// expire drops the blocks that were presumed and not confirmed in time.
func (x *Index) expire(now int64) {
	n := 0
	for n < len(x.learned) && x.learned[n].until < now {
		for _, b := range x.learned[n].blocks {
			if x.blocks.get(b) < now {
				x.blocks.remove(b)
			}
		}
		n++
	}
	x.learned = slices.Delete(x.learned, 0, n)
}

// apply takes in an event. A block that is only presumed outlasts a removal,
// which is older than the request that used it.
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

// after returns the events kept that came after the number.
func (x *Index) after(number uint64) []boragewick.CacheEvent {
	for i, e := range x.replay {
		if e.Number > number {
			return x.replay[i:]
		}
	}
	return nil
}

// replaceConfirmed makes the blocks the only confirmed ones.
func (x *Index) replaceConfirmed(blocks []boragewick.BlockHash) {
	x.blocks.filter(func(_ boragewick.BlockHash, until int64) bool { return until != confirmed })
	for _, b := range blocks {
		x.blocks.put(b, confirmed)
	}
}
