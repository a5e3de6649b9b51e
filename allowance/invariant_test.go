package allowance

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"
)

var seedFlag = flag.Uint64("seed", 0, "run the fault test with this seed alone")

// TestRateHoldsUnderFaults checks in every step that in no interval that ends then
// more tokens are spent than the rate times its length plus the burst. Tokens that
// routers could still spend count as spent.
func TestRateHoldsUnderFaults(t *testing.T) {
	seeds := []uint64{1, 2, 3, 4, 5, 6, 7, 42, 57, 98, 119, 135}
	if *seedFlag != 0 {
		seeds = []uint64{*seedFlag}
	}
	served, refused := 0, 0
	for _, seed := range seeds {
		draw := rand.New(rand.NewPCG(seed, 2))
		burst := []uint64{1500, 1500, 4000, 12_000}[draw.IntN(4)]
		largest := []uint64{20, 100, 600}[draw.IntN(3)]
		s := newFleet(seed, 2+draw.IntN(4), 1000, burst, faults{
			drift:      0.001,
			lost:       0.05 * draw.Float64(),
			repeated:   0.05,
			delayScale: time.Duration(draw.Int64N(int64(500 * time.Millisecond))),
			perSecond:  0.1 + 0.6*draw.Float64(),
		})
		if !rateHolds(t, s, 30_000, largest) {
			t.Fatalf("replay with: go test ./allowance -run TestRateHoldsUnderFaults -seed %d", seed)
		}
		served += s.served
		refused += s.refused
	}
	if len(seeds) > 1 && (served < 1000 || refused < 1000) {
		t.Errorf("%d served, %d refused: too few to reach the limit", served, refused)
	}
}

// stepLoad returns about twice the mean number of tokens requested in step n, which
// is first less than the rate, then none, then many times the rate.
func stepLoad(n int) float64 {
	switch n %= 4000; {
	case n < 1500:
		return 1.2
	case n < 3500:
		return 0
	default:
		return 16
	}
}

// rateHolds runs the fleet and reports whether the rate held in every step.
func rateHolds(t *testing.T, s *fleet, steps int, largest uint64) bool {
	for n := range steps {
		s.advance()
		if s.rng.Float64() < s.faults.perSecond*step.Seconds() {
			s.injectFault()
		}
		if s.rng.Float64() < stepLoad(n)/float64(largest) {
			// One router is preferred for a while.
			i := min(s.rng.IntN(len(s.routers)), s.rng.IntN(1+n/5000%len(s.routers)))
			tokens := 1 + s.rng.Uint64N(largest)
			used := s.rng.Uint64N(tokens + 1)
			runTime := time.Duration(s.rng.Int64N(int64(5 * time.Second)))
			maxWait := time.Duration(s.rng.Int64N(int64(300 * time.Millisecond)))
			s.request(s.routers[i], tokens, used, maxWait, runTime)
		}
		excess := s.usage.excess(s.now) + s.outstanding()
		if excess > s.usage.burst+1e-3 {
			t.Errorf("at %s: %.3f tokens beyond the rate, burst %.0f", s.now.Sub(epoch), excess, s.usage.burst)
			return false
		}
	}
	return true
}
