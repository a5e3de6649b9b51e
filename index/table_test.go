package index

import (
	"math/rand/v2"
	"testing"

	"github.com/boragewick/boragewick"
)

// TestTableAgreesWithMap draws blocks that differ only in a few low and high bits,
// so that many collide and form clusters.
func TestTableAgreesWithMap(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	var x table
	want := map[boragewick.BlockHash]int64{}
	randomBlock := func() boragewick.BlockHash {
		return boragewick.BlockHash(r.Uint64N(400) | r.Uint64N(4)<<40)
	}
	for i := range 100_000 {
		b := randomBlock()
		if r.IntN(2) == 0 {
			x.put(b, int64(i+1))
			want[b] = int64(i + 1)
		} else {
			x.remove(b)
			delete(want, b)
		}
		if c := randomBlock(); x.get(c) != want[c] {
			t.Fatalf("step %d: block %x has %d, want %d", i, c, x.get(c), want[c])
		}
	}
	even := func(_ boragewick.BlockHash, expires int64) bool { return expires%2 == 0 }
	x.filter(even)
	kept := 0
	for b, expires := range want {
		if !even(b, expires) {
			expires = 0
		}
		if x.get(b) != expires {
			t.Errorf("after the filter block %x has %d, want %d", b, x.get(b), expires)
		}
		if expires != 0 {
			kept++
		}
	}
	if x.count != kept {
		t.Errorf("%d blocks counted, want %d", x.count, kept)
	}
}
