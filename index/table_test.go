package index

import (
	"math/rand/v2"
	"testing"

	"github.com/boragewick/boragewick"
)

// TestTableAgreesWithMap makes clusters by drawing blocks that differ only in
// a few low and high bits.
func TestTableAgreesWithMap(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	var x table
	want := map[boragewick.BlockHash]int64{}
	draw := func() boragewick.BlockHash {
		return boragewick.BlockHash(r.Uint64N(400) | r.Uint64N(4)<<40)
	}
	for i := range 100_000 {
		b := draw()
		if r.IntN(2) == 0 {
			x.put(b, int64(i+1))
			want[b] = int64(i + 1)
		} else {
			x.remove(b)
			delete(want, b)
		}
		if c := draw(); x.get(c) != want[c] {
			t.Fatalf("step %d: block %x has %d, want %d", i, c, x.get(c), want[c])
		}
	}
	even := func(_ boragewick.BlockHash, until int64) bool { return until%2 == 0 }
	x.filter(even)
	kept := 0
	for b, until := range want {
		if !even(b, until) {
			until = 0
		}
		if x.get(b) != until {
			t.Errorf("after the filter block %x has %d, want %d", b, x.get(b), until)
		}
		if until != 0 {
			kept++
		}
	}
	if x.n != kept {
		t.Errorf("%d blocks counted, want %d", x.n, kept)
	}
}
