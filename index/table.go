package index

import "github.com/boragewick/boragewick"

// minSlots is the size of the smallest table; sizes are powers of two.
const minSlots = 1 << 10

// table maps blocks to the instant until which they count as cached. It is a
// hash table with linear probing; block hashes need no further hashing. The
// zero value is empty.
type table struct {
	slots []slot
	n     int
}

// slot is free when until is zero.
type slot struct {
	block boragewick.BlockHash
	until int64
}

// get returns the instant kept for the block, or zero.
func (t *table) get(b boragewick.BlockHash) int64 {
	if t.n == 0 {
		return 0
	}
	mask := len(t.slots) - 1
	for i := int(b) & mask; ; i = (i + 1) & mask {
		s := &t.slots[i]
		if s.block == b || s.until == 0 {
			return s.until
		}
	}
}

// put keeps the instant, which must not be zero, for the block.
func (t *table) put(b boragewick.BlockHash, until int64) {
	if 4*(t.n+1) > 3*len(t.slots) {
		t.resize(max(2*len(t.slots), minSlots))
	}
	s := &t.slots[t.find(b)]
	if s.until == 0 {
		t.n++
	}
	*s = slot{b, until}
}

// remove frees the block's slot and moves back what was displaced by it.
func (t *table) remove(b boragewick.BlockHash) {
	if t.n == 0 {
		return
	}
	mask := len(t.slots) - 1
	i := t.find(b)
	if t.slots[i].until == 0 {
		return
	}
	t.n--
	for j := (i + 1) & mask; t.slots[j].until != 0; j = (j + 1) & mask {
		home := int(t.slots[j].block) & mask
		if (j-home)&mask >= (j-i)&mask {
			t.slots[i] = t.slots[j]
			i = j
		}
	}
	t.slots[i] = slot{}
}

// find returns the place of the block or the free place for it.
func (t *table) find(b boragewick.BlockHash) int {
	mask := len(t.slots) - 1
	i := int(b) & mask
	for t.slots[i].until != 0 && t.slots[i].block != b {
		i = (i + 1) & mask
	}
	return i
}

// filter keeps the blocks for which keep returns true.
func (t *table) filter(keep func(b boragewick.BlockHash, until int64) bool) {
	old := t.slots
	*t = table{}
	for _, s := range old {
		if s.until != 0 && keep(s.block, s.until) {
			t.put(s.block, s.until)
		}
	}
}

func (t *table) resize(n int) {
	old := t.slots
	t.slots = make([]slot, n)
	for _, s := range old {
		if s.until != 0 {
			t.slots[t.find(s.block)] = s
		}
	}
}
