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

// trial is what five runs gave.
type trial struct {
	served, refused, wrongly, impossible, messages, bytes int
	tokens                                                float64 // used
	waits, idealWaits                                     []time.Duration
	seconds                                               float64
}

func (r *trial) run(routers int, rate, burst uint64, part float64, pick spread, failover, length time.Duration) {
	r.seconds = 5 * length.Seconds()
	for seed := range uint64(5) {
		s := newFleet(seed+1, routers, rate, burst, faults{drift: 0.001})
		s.warm()
		if failover > 0 {
			s.failEvery(failover)
		}
		s.runLoad(pick, part, length)
		r.served += s.served
		r.refused += s.refused
		r.wrongly += s.wrongly
		r.impossible += s.impossible
		r.messages += s.messages
		r.bytes += s.bytes
		r.waits = append(r.waits, s.waited...)
		r.idealWaits = append(r.idealWaits, s.idealWaits...)
		for _, u := range s.usage.spent {
			r.tokens += u.tokens
		}
	}
}

func (r *trial) log(t *testing.T, routers int) {
	perRouter := r.seconds * float64(routers)
	t.Logf("requests %d refused %d wrongly %d, by one bucket %d; wait p99 %s, one bucket %s; %.0f tokens/s; a router %.2f messages/s %.1f B/s",
		r.served+r.refused, r.refused, r.wrongly, r.impossible, p99(r.waits), p99(r.idealWaits), r.tokens/r.seconds,
		float64(r.messages)/perRouter, float64(r.bytes)/perRouter)
}

func p99(waits []time.Duration) time.Duration {
	slices.Sort(waits)
	return waits[len(waits)*99/100].Round(time.Millisecond)
}

// TestRefusalsWithinTheRate runs a workspace at 0.9 of its rate and counts the
// requests that are refused though one bucket in front of all routers would
// have had their tokens at once.
func TestRefusalsWithinTheRate(t *testing.T) {
	for name, pick := range map[string]spread{"even": even, "skewed": skewed, "shifting": shifting} {
		for _, routers := range []int{2, 8, 340} {
			t.Run(fmt.Sprintf("%s/%d", name, routers), func(t *testing.T) {
				var r trial
				r.run(routers, 1000, 10_000, 0.9, pick, 0, time.Minute)
				r.log(t, routers)
				if r.wrongly > 0 {
					t.Errorf("%d of %d requests refused within the rate", r.wrongly, r.served+r.refused)
				}
			})
		}
	}
}

// TestLargeWorkspace is TestRefusalsWithinTheRate with a hundred times the rate.
func TestLargeWorkspace(t *testing.T) {
	var r trial
	r.run(8, 100_000, 1_000_000, 0.9, skewed, 0, 10*time.Second)
	r.log(t, 8)
	if r.wrongly > 0 {
		t.Errorf("%d of %d requests refused within the rate", r.wrongly, r.served+r.refused)
	}
}

// TestTenTimesTheRate checks that a workspace far beyond its rate still gets
// nearly all of it.
func TestTenTimesTheRate(t *testing.T) {
	for _, routers := range []int{2, 8, 340} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			var r trial
			r.run(routers, 1000, 10_000, 10, even, 0, 20*time.Second)
			r.log(t, routers)
			if r.tokens/r.seconds < 1200 {
				t.Errorf("%.0f tokens/s of 1000 and the burst in 20 s", r.tokens/r.seconds)
			}
		})
	}
}

// TestFailoverRefusals has a new owner every ten seconds, after one without.
func TestFailoverRefusals(t *testing.T) {
	for _, part := range []float64{0.5, 0.9} {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			var r trial
			r.run(8, 1000, 10_000, part, skewed, 10*time.Second, time.Minute)
			r.log(t, 8)
			if r.served < r.refused {
				t.Errorf("%d served, %d refused", r.served, r.refused)
			}
		})
	}
}

// failEvery replaces the owner again and again.
func (s *fleet) failEvery(interval time.Duration) {
	s.at(interval, func() {
		s.failover(time.Second)
		s.failEvery(interval)
	})
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
