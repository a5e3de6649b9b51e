// Package window counts total and bad events over pairs of sliding windows with
// lengths from five minutes to three days.
package window

import (
	"math"
	"time"
)

// Slots is the number of slots kept for a pair of windows. The long window spans
// all of them; the short window is one slot long.
const Slots = 12

// ShortWindows lists the length of the short window of each pair.
var ShortWindows = [...]time.Duration{5 * time.Minute, 30 * time.Minute, 2 * time.Hour, 6 * time.Hour}

// count holds the events of one slot. The counters saturate at their largest
// value.
type count struct {
	_     struct{} `cbor:",toarray"`
	Total uint32
	Bad   uint32
}

// ring holds the slots of one pair of windows. Slots begin at multiples of their
// length since the Unix epoch, so that the rings of all processes can be merged.
type ring struct {
	// Newest is the number of the newest slot.
	Newest int64        `cbor:"newest"`
	Counts [Slots]count `cbor:"counts"`
}

// Counts counts events for all pairs of windows. It can be encoded in CBOR.
type Counts struct {
	Rings [len(ShortWindows)]ring `cbor:"rings"`
}

// saturatingAdd returns the sum, limited to the largest uint32.
func saturatingAdd(a uint32, b uint64) uint32 {
	return uint32(min(uint64(a)+b, math.MaxUint32))
}

// advance moves the newest slot forward to newest and clears the slots that it
// replaces.
func (r *ring) advance(newest int64) {
	if newest <= r.Newest {
		return
	}
	for n := max(r.Newest+1, newest-Slots+1); n <= newest; n++ {
		r.Counts[n%Slots] = count{}
	}
	r.Newest = newest
}

// slotAt returns slot n, or nil if the ring does not hold it.
func (r *ring) slotAt(n int64) *count {
	if n <= r.Newest-Slots || n > r.Newest || n < 0 {
		return nil
	}
	return &r.Counts[n%Slots]
}

// slotNumber returns the number of the pair's slot that contains the instant.
func slotNumber(pair int, at time.Time) int64 {
	return at.Unix() / int64(ShortWindows[pair]/time.Second)
}

// Add counts events that occurred at the instant.
func (c *Counts) Add(at time.Time, total, bad uint64) {
	for i := range c.Rings {
		r := &c.Rings[i]
		n := slotNumber(i, at)
		r.advance(n)
		if s := r.slotAt(n); s != nil {
			s.Total = saturatingAdd(s.Total, total)
			s.Bad = saturatingAdd(s.Bad, bad)
		}
	}
}

// Merge adds the events of the other counts.
func (c *Counts) Merge(other *Counts) {
	for i := range c.Rings {
		r, o := &c.Rings[i], &other.Rings[i]
		r.advance(o.Newest)
		for n := max(0, o.Newest-Slots+1); n <= o.Newest; n++ {
			to, from := r.slotAt(n), o.slotAt(n)
			if to != nil && from != nil {
				to.Total = saturatingAdd(to.Total, uint64(from.Total))
				to.Bad = saturatingAdd(to.Bad, uint64(from.Bad))
			}
		}
	}
}

// Short returns the events of the pair's short window. It covers the current slot
// and the previous one, so between one and two slots.
func (c *Counts) Short(pair int, now time.Time) (total, bad uint64) {
	return c.Rings[pair].sum(slotNumber(pair, now), 2)
}

// Long returns the events of the pair's long window, including the current slot.
func (c *Counts) Long(pair int, now time.Time) (total, bad uint64) {
	return c.Rings[pair].sum(slotNumber(pair, now), Slots)
}

// sum adds up the last n slots.
func (r *ring) sum(newest int64, n int64) (total, bad uint64) {
	for i := newest - n + 1; i <= newest; i++ {
		if s := r.slotAt(i); s != nil {
			total += uint64(s.Total)
			bad += uint64(s.Bad)
		}
	}
	return total, bad
}
