package allowance

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// spread chooses the router of a request at an instant of the run.
type spread func(s *fleet) *simRouter

func even(s *fleet) *simRouter { return s.routers[s.rng.IntN(len(s.routers))] }

// skewed prefers the first routers: the share of router i falls with its square.
func skewed(s *fleet) *simRouter {
	i := int(math.Pow(s.rng.Float64(), 3) * float64(len(s.routers)))
	return s.routers[i]
}

// shifting sends most requests to one router, another one every two seconds.
func shifting(s *fleet) *simRouter {
	if s.rng.Float64() < 0.2 {
		return even(s)
	}
	turn := int(s.now.Sub(epoch) / (2 * time.Second))
	return s.routers[turn*7%len(s.routers)]
}

// TestRefusalsWithinTheRate runs a workspace at 0.9 of its rate and counts the
// requests that are refused though one bucket in front of all routers would
// have served them in time.
func TestRefusalsWithinTheRate(t *testing.T) {
	spreads := map[string]spread{"even": even, "skewed": skewed, "shifting": shifting}
	for name, spread := range spreads {
		for _, routers := range []int{2, 8, 340} {
			t.Run(fmt.Sprintf("%s/%d", name, routers), func(t *testing.T) {
				served, refused, wrongly, impossible, rate := 0, 0, 0, 0, 0.0
				var waits []time.Duration
				for seed := range uint64(5) {
					s := newFleet(seed+1, routers, 1000, 10_000, faults{drift: 0.001})
					s.warm()
					s.runLoad(spread, 0.9, 60*time.Second)
					served += s.served
					refused += s.refused
					wrongly += s.wrongly
					impossible += s.impossible
					waits = append(waits, s.waited...)
					rate += float64(s.bytes) / 60 / float64(routers) / 5
				}
				slices.Sort(waits)
				t.Logf("served %d refused %d wrongly %d ideal refused %d wait p99 %s max %s, %.1f B/s a router",
					served, refused, wrongly, impossible, waits[len(waits)*99/100], waits[len(waits)-1], rate)
				if wrongly > 0 {
					t.Errorf("%d of %d requests refused within the rate", wrongly, served+refused)
				}
			})
		}
	}
}

// warm lets the allowance refill after the start of the first owner.
func (s *fleet) warm() {
	s.now = s.now.Add(time.Minute)
}

// runLoad sends requests for a part of the rate, 1000 tokens reserved and 600
// used on average, and checks the rate all the while.
func (s *fleet) runLoad(pick spread, part float64, length time.Duration) {
	perStep := part * s.usage.rate / 600 * step.Seconds()
	for end := s.now.Add(length); s.now.Before(end); {
		s.advance()
		for n := s.rng.ExpFloat64(); n < perStep; n += s.rng.ExpFloat64() {
			tokens := 500 + s.rng.Uint64N(1001)
			used := tokens / 5 * (1 + s.rng.Uint64N(5))
			runs := 500*time.Millisecond + time.Duration(s.rng.Int64N(int64(3*time.Second)))
			s.request(pick(s), tokens, used, 2*time.Second, runs)
		}
		if excess := s.usage.excess(s.now); excess > s.usage.burst {
			panic(fmt.Sprintf("%.0f tokens beyond the rate", excess))
		}
	}
}
