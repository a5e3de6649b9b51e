package headroom

import (
	"hash/maphash"
	"time"

	"github.com/boragewick/boragewick"
)

// limits are the largest shares of an engine's memory up to which requests are sent, by the
// number of more urgent ranks in use. The first one doesn't count less urgent requests; it
// leaves room for cached parts, without which engines read the shared parts of all prompts
// again. Each of the others leaves the room of three requests of the more urgent ranks, with
// prompts of 3,000 tokens of an engine's 110,000.
var limits = [...]float64{0.85, 0.90, 0.82, leastLimit}

const (
	leastLimit = 0.75
	// leastSlotUse is the share of an engine's slots in use from which requests are decided
	// on. Other routers take the rest before this router learns of it.
	leastSlotUse = 0.75
	// maxUnread is the largest number of requests at an engine whose prompt isn't prefilled.
	// An engine reads some four long prompts within 400 ms while others run. With 3, engines
	// had nothing to read between two reports.
	maxUnread = 7
)

// limit returns the largest memory use with which a request of the level may be sent.
func limit(level int) float64 { return limits[min(level, len(limits)-1)] }

// choose returns the index of the first candidate that has room for the request and serves
// it in time, or a negative number.
func (q *queue) choose(w *waiter, candidates []boragewick.Candidate, rivals int, now time.Time) int {
	w.memoryUse = candidates[0].MemoryUse
	if w.memoryUse == 0 {
		return 0 // nothing is held for engines of unknown memory use
	}
	level := q.level(w.rank, now)
	for i := range candidates {
		c := &candidates[i]
		if c.MemoryUse == 0 || late(c.FirstToken.Sub(now), w.request.UsefulUntil.Sub(now), engineMargin) {
			continue
		}
		if q.hasRoom(w, c, rivals, level, now) {
			return i
		}
	}
	return -1
}

// hasRoom reports whether the candidate has memory and a slot for the request. What is free
// counts as shared with the rivals.
func (q *queue) hasRoom(w *waiter, c *boragewick.Candidate, rivals, level int, now time.Time) bool {
	memory, _ := w.shares(c)
	added, requests := 0.0, 0
	for _, a := range q.recent {
		if a.endpoint == c.Endpoint.Name && now.Sub(a.at) < reportLag {
			added += a.share
			// The most urgent rank in use doesn't wait for less urgent requests.
			if level > 0 || a.rank <= w.rank {
				requests++
			}
		}
	}
	draw := q.draw(c.Endpoint.Name, now)
	// MemoryUse includes the request.
	free := limit(level) - c.MemoryUse*(1-q.lessUrgent(w, level)) + memory
	if added+memory > min(free, free/float64(rivals+1)+draw*memory) {
		return false
	}
	free = float64(maxUnread - c.Unread)
	if float64(requests+1) > min(free, free/float64(rivals+1)+draw) {
		return false
	}
	// Engines start the most urgent request first, so it doesn't need a free slot.
	if c.Slots <= 0 || level == 0 {
		return true
	}
	free = float64(c.Slots - c.Requests)
	return float64(requests+1) <= min(free, free/float64(rivals+1)+draw)
}

// lessUrgent returns the share of less urgent requests in what this router admitted. A request
// of the most urgent rank in use must not wait for them, so their share doesn't count then.
func (q *queue) lessUrgent(w *waiter, level int) float64 {
	if level > 0 {
		return 0
	}
	less, all := 0.0, 0.0
	for i := range q.ranks {
		all += q.ranks[i].admitted
		if i > w.rank {
			less += q.ranks[i].admitted
		}
	}
	if less == 0 {
		return 0
	}
	return less / all
}

// draw returns a number from 0 to 1 that is random but the same for an engine within
// reportLag. All routers learn at the same time that an engine has room. Each takes its equal
// part of it, rounded up or down at random, so that together they send what fits.
func (q *queue) draw(endpoint string, now time.Time) float64 {
	var h maphash.Hash
	h.SetSeed(q.seed)
	_, _ = h.WriteString(endpoint)
	maphash.WriteComparable(&h, now.UnixNano()/int64(reportLag))
	return float64(h.Sum64()>>11) / (1 << 53)
}
