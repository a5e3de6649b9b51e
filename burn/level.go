package burn

import (
	"sync"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/histogram"
	"github.com/boragewick/boragewick/window"
)

// Indices into a level's counts, in the order of boragewick.ObjectiveNames.
const (
	firstToken = iota
	betweenTokens
	availability
	refusals
)

// Indices into a level's causes, in the order of boragewick.Causes.
const (
	queue = iota
	prefill
	decode
	retries
	refusal
	endpoint
)

// level is the service level of one series.
type level struct {
	mu sync.Mutex
	// Requests counts requests since the meter was created.
	Requests uint64 `cbor:"requests"`
	// FirstToken and Gaps hold the times to the first token and between tokens
	// in microseconds, since the meter was created.
	FirstToken histogram.Histogram                           `cbor:"first_token"`
	Gaps       histogram.Histogram                           `cbor:"gaps"`
	Counts     [len(boragewick.ObjectiveNames)]window.Counts `cbor:"counts"`
	Causes     causes                                        `cbor:"causes"`
}

// causes counts bad events by cause, in slots as long as the longest short window.
type causes struct {
	Newest int64                                        `cbor:"newest"`
	Slots  [window.Slots][len(boragewick.Causes)]uint32 `cbor:"slots"`
}

// causeSlotSeconds is the length of a slot of causes in seconds.
const causeSlotSeconds = 6 * 60 * 60

// advance moves the newest slot forward to newest and clears the slots that it
// replaces.
func (c *causes) advance(newest int64) {
	for n := max(c.Newest+1, newest-window.Slots+1); n <= newest; n++ {
		c.Slots[n%window.Slots] = [len(boragewick.Causes)]uint32{}
	}
	c.Newest = max(c.Newest, newest)
}

// add counts one bad event with the cause.
func (c *causes) add(cause int, at time.Time) {
	n := at.Unix() / causeSlotSeconds
	c.advance(n)
	if n > c.Newest-window.Slots {
		c.Slots[n%window.Slots][cause]++
	}
}

// merge adds the other causes.
func (c *causes) merge(o *causes) {
	c.advance(o.Newest)
	for n := max(0, o.Newest-window.Slots+1, c.Newest-window.Slots+1); n <= o.Newest; n++ {
		for i, count := range o.Slots[n%window.Slots] {
			c.Slots[n%window.Slots][i] += count
		}
	}
}

// sums returns the number of bad events of the last three days by cause.
func (c *causes) sums(now time.Time) [len(boragewick.Causes)]uint64 {
	var sums [len(boragewick.Causes)]uint64
	newest := now.Unix() / causeSlotSeconds
	for n := max(0, newest-window.Slots+1, c.Newest-window.Slots+1); n <= min(newest, c.Newest); n++ {
		for i, count := range c.Slots[n%window.Slots] {
			sums[i] += uint64(count)
		}
	}
	return sums
}

// record counts an event of the objective and, if it is bad, its cause.
func (l *level) record(objective int, at time.Time, bad bool, cause int) {
	var n uint64
	if bad {
		n = 1
		l.Causes.add(cause, at)
	}
	l.Counts[objective].Add(at, 1, n)
}

// merge adds the other level.
func (l *level) merge(o *level) {
	copied := o.copy()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Requests += copied.Requests
	l.FirstToken.Merge(&o.FirstToken)
	l.Gaps.Merge(&o.Gaps)
	for i := range l.Counts {
		l.Counts[i].Merge(&copied.Counts[i])
	}
	l.Causes.merge(&copied.Causes)
}

// counters is the part of a level that its mutex protects.
type counters struct {
	Requests uint64
	Counts   [len(boragewick.ObjectiveNames)]window.Counts
	Causes   causes
}

// copy returns a consistent copy of the counters.
func (l *level) copy() counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return counters{l.Requests, l.Counts, l.Causes}
}
