package index

import "github.com/boragewick/boragewick"

// minSlots is the size of the smallest table; sizes are powers of two.
const minSlots = 1 << 10

// table maps blocks to the time until which they count as cached. It is a
// hash table with linear probing; block hashes need no further hashing. The
// zero value is empty.
type table struct {
	slots []slot
	count int
}

// slot is free when expires is zero.
type slot struct {
	block   boragewick.BlockHash
	expires int64
}

// get returns the expiry time of the block, or zero if the table lacks it.
func (t *table) get(b boragewick.BlockHash) int64 {
	if t.count == 0 {
		return 0
	}
	mask := len(t.slots) - 1
	for i := int(b) & mask; ; i = (i + 1) & mask {
		s := &t.slots[i]
		if s.block == b || s.expires == 0 {
			return s.expires
		}
	}
}

// put sets the expiry time, which must not be zero, of the block.
func (t *table) put(b boragewick.BlockHash, expires int64) {
	if 4*(t.count+1) > 3*len(t.slots) {
		t.resize(max(2*len(t.slots), minSlots))
	}
	s := &t.slots[t.find(b)]
	if s.expires == 0 {
		t.count++
	}
	*s = slot{b, expires}
}

// remove frees the block's slot and shifts back the blocks that it displaced.
func (t *table) remove(b boragewick.BlockHash) {
	if t.count == 0 {
		return
	}
	mask := len(t.slots) - 1
	i := t.find(b)
	if t.slots[i].expires == 0 {
		return
	}
	t.count--
	for j := (i + 1) & mask; t.slots[j].expires != 0; j = (j + 1) & mask {
		home := int(t.slots[j].block) & mask
		if (j-home)&mask >= (j-i)&mask {
			t.slots[i] = t.slots[j]
			i = j
		}
	}
	t.slots[i] = slot{}
}

// find returns the position of the block's slot or of the free slot for it.
func (t *table) find(b boragewick.BlockHash) int {
	mask := len(t.slots) - 1
	i := int(b) & mask
	for t.slots[i].expires != 0 && t.slots[i].block != b {
		i = (i + 1) & mask
	}
	return i
}

// filter keeps the blocks for which keep returns true.
func (t *table) filter(keep func(b boragewick.BlockHash, expires int64) bool) {
	old := t.slots
	*t = table{}
	for _, s := range old {
		if s.expires != 0 && keep(s.block, s.expires) {
			t.put(s.block, s.expires)
		}
	}
}

func (t *table) resize(size int) {
	old := t.slots
	t.slots = make([]slot, size)
	for _, s := range old {
		if s.expires != 0 {
			t.slots[t.find(s.block)] = s
		}
	}
}
