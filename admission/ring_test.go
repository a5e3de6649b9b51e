package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/boragewick/boragewick"
)

// TestRingShares checks for every request that no other workspace is served more
// tokens before it than the shares of the two allow.
func TestRingShares(t *testing.T) {
	const quantum, largest = 1000, 8000
	tests := map[string]struct {
		seed    uint64
		weights []uint32
		// flood is the number of requests that the first workspace sends for
		// each one of another workspace.
		flood int
	}{
		"equal":             {1, []uint32{1, 1, 1, 1, 1}, 1},
		"flooded":           {2, []uint32{1, 1, 1, 1, 1}, 10},
		"weighted":          {3, []uint32{1, 2, 3, 4}, 10},
		"heavy one floods":  {4, []uint32{9, 1, 1}, 10},
		"flooded by a lot":  {5, []uint32{1, 1}, 100},
		"weight not stated": {6, []uint32{0, 1, 0}, 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(tt.seed, 0))
			var r ring
			servedMeanwhile := map[*waiter]map[boragewick.ID]uint64{}
			bound := map[*waiter]uint64{}
			served := 0
			for sent := 0; sent < 5000 || len(servedMeanwhile) > 0; {
				if sent < 5000 && (len(servedMeanwhile) == 0 || rnd.IntN(2) == 0) {
					sent++
					i := max(0, rnd.IntN(tt.flood+len(tt.weights)-1)-tt.flood+1)
					wt := &waiter{cost: 1 + rnd.Uint64N(largest)}
					wt.Workspace = boragewick.ID(fmt.Sprint(i))
					wt.Weight = tt.weights[i]
					r.push(wt)
					servedMeanwhile[wt] = map[boragewick.ID]uint64{}
					bound[wt] = wt.flow.backlog / wt.flow.weight
					continue
				}
				wt := r.next(quantum)
				for other, tokens := range servedMeanwhile[wt] {
					weight := uint64(max(1, tt.weights[other[0]-'0']))
					if limit := (bound[wt]+2*quantum)*weight + largest; tokens > limit {
						t.Fatalf("workspace %s got %d tokens before a request of %s, more than %d", other, tokens, wt.Workspace, limit)
					}
				}
				wt.flow.deficit -= wt.cost
				delete(servedMeanwhile, wt)
				r.remove(wt)
				served++
				for w := range servedMeanwhile {
					if w.Workspace != wt.Workspace {
						servedMeanwhile[w][wt.Workspace] += wt.cost
					}
				}
			}
			if served != 5000 || len(r.flows) != 0 || len(r.active) != 0 {
				t.Errorf("served %d, %d flows left", served, len(r.flows))
			}
		})
	}
}

func BenchmarkRing(b *testing.B) {
	var r ring
	waiters := make([]*waiter, 256)
	for i := range waiters {
		waiters[i] = &waiter{cost: uint64(500 + i*17)}
		waiters[i].Workspace = boragewick.ID(fmt.Sprint(i % 5))
		r.push(waiters[i])
	}
	b.ReportAllocs()
	for b.Loop() {
		wt := r.next(defaultQuantum)
		wt.flow.deficit -= wt.cost
		r.remove(wt)
		r.push(wt)
	}
}
