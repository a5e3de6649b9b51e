// Package window counts good and bad events over sliding windows from five
// minutes to three days.
package window

import (
	"math"
	"time"
)

// Slots is the number of slots of a pair. The long window of a pair has as many
// slots, and the short window is one slot long.
const Slots = 12

// Pairs lists the lengths of the short windows.
var Pairs = [...]time.Duration{5 * time.Minute, 30 * time.Minute, 2 * time.Hour, 6 * time.Hour}

// count is the events of one slot. The counters stay at their largest value.
type count struct {
	_     struct{} `cbor:",toarray"`
	Total uint32
	Bad   uint32
}

// ring is the slots of one pair. Slots begin at multiples of their length since
// the Unix epoch, so that the rings of all processes can be added up.
type ring struct {
	// Newest is the number of the newest slot.
	Newest int64        `cbor:"newest"`
	Counts [Slots]count `cbor:"counts"`
}

// Counts counts events for all pairs of windows. It can be stored in CBOR.
type Counts struct {
	Rings [len(Pairs)]ring `cbor:"rings"`
}

// add returns the sum, or the largest counter if that is smaller.
func add(a uint32, b uint64) uint32 {
	return uint32(min(uint64(a)+b, math.MaxUint32))
}

// advance drops the slots that are too old at the newest slot.
func (r *ring) advance(newest int64) {
	if newest <= r.Newest {
		return
	}
	for n := max(r.Newest+1, newest-Slots+1); n <= newest; n++ {
		r.Counts[n%Slots] = count{}
	}
	r.Newest = newest
}

// at returns the slot with the number, or nil if it is too old.
func (r *ring) at(n int64) *count {
	if n <= r.Newest-Slots || n > r.Newest || n < 0 {
		return nil
	}
	return &r.Counts[n%Slots]
}

// slot returns the number of the slot of the pair at the instant.
func slot(pair int, at time.Time) int64 {
	return at.Unix() / int64(Pairs[pair]/time.Second)
}

// Add counts events at the instant.
func (c *Counts) Add(at time.Time, total, bad uint64) {
	for i := range c.Rings {
		r := &c.Rings[i]
		n := slot(i, at)
		r.advance(n)
		if s := r.at(n); s != nil {
			s.Total = add(s.Total, total)
			s.Bad = add(s.Bad, bad)
		}
	}
}

// Merge adds the events of the other counts.
func (c *Counts) Merge(other *Counts) {
	for i := range c.Rings {
		r, o := &c.Rings[i], &other.Rings[i]
		r.advance(o.Newest)
		for n := max(0, o.Newest-Slots+1); n <= o.Newest; n++ {
			to, from := r.at(n), o.at(n)
			if to != nil && from != nil {
				to.Total = add(to.Total, uint64(from.Total))
				to.Bad = add(to.Bad, uint64(from.Bad))
			}
		}
	}
}

// Short returns the events of the pair's short window. It takes in the slot
// under way and the one before, so between one and two slots.
func (c *Counts) Short(pair int, now time.Time) (total, bad uint64) {
	return c.Rings[pair].sum(slot(pair, now), 2)
}

// Long returns the events of the pair's long window, the slot under way included.
func (c *Counts) Long(pair int, now time.Time) (total, bad uint64) {
	return c.Rings[pair].sum(slot(pair, now), Slots)
}

// sum adds up the last n slots.
func (r *ring) sum(newest int64, n int64) (total, bad uint64) {
	for i := newest - n + 1; i <= newest; i++ {
		if s := r.at(i); s != nil {
			total += uint64(s.Total)
			bad += uint64(s.Bad)
		}
	}
	return total, bad
}
