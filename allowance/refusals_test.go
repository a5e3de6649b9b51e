package allowance

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// routerPicker chooses the router for the next request.
type routerPicker func(s *fleet) *simRouter

func even(s *fleet) *simRouter { return s.routers[s.rng.IntN(len(s.routers))] }

// skewed prefers the first routers: the share of router i falls with i^(2/3).
func skewed(s *fleet) *simRouter {
	i := int(math.Pow(s.rng.Float64(), 3) * float64(len(s.routers)))
	return s.routers[i]
}

// shifting sends most requests to one router, which changes every two seconds.
func shifting(s *fleet) *simRouter {
	if s.rng.Float64() < 0.2 {
		return even(s)
	}
	turn := int(s.now.Sub(epoch) / (2 * time.Second))
	return s.routers[turn*7%len(s.routers)]
}

// totals holds the sums over five runs.
type totals struct {
	served, refused, wronglyRefused, refusedByIdeal, messages, bytes int
	tokens                                                           float64 // used
	waits, idealWaits                                                []time.Duration
	seconds                                                          float64
}

func (r *totals) run(routers int, rate, burst uint64, fraction float64, pick routerPicker, failover, length time.Duration) {
	r.seconds = 5 * length.Seconds()
	for seed := range uint64(5) {
		s := newFleet(seed+1, routers, rate, burst, faults{drift: 0.001})
		s.refill()
		if failover > 0 {
			s.failoverEvery(failover)
		}
		s.runLoad(pick, fraction, length)
		r.served += s.served
		r.refused += s.refused
		r.wronglyRefused += s.wronglyRefused
		r.refusedByIdeal += s.refusedByIdeal
		r.messages += s.messages
		r.bytes += s.bytes
		r.waits = append(r.waits, s.waits...)
		r.idealWaits = append(r.idealWaits, s.idealWaits...)
		for _, u := range s.usage.spent {
			r.tokens += u.tokens
		}
	}
}

func (r *totals) log(t *testing.T, routers int) {
	perRouter := r.seconds * float64(routers)
	t.Logf("requests %d, refused %d, of them wrongly %d, by a single bucket %d; wait p99 %s, with a single bucket %s; %.0f tokens/s; per router %.2f messages/s, %.1f B/s",
		r.served+r.refused, r.refused, r.wronglyRefused, r.refusedByIdeal, p99(r.waits), p99(r.idealWaits), r.tokens/r.seconds,
		float64(r.messages)/perRouter, float64(r.bytes)/perRouter)
}

func p99(waits []time.Duration) time.Duration {
	slices.Sort(waits)
	return waits[len(waits)*99/100].Round(time.Millisecond)
}

// TestRefusalsWithinTheRate runs a workspace at 0.9 of its rate and checks that no
// request is refused for which a single bucket in front of all routers would have
// had the tokens at once.
func TestRefusalsWithinTheRate(t *testing.T) {
	for name, pick := range map[string]routerPicker{"even": even, "skewed": skewed, "shifting": shifting} {
		for _, routers := range []int{2, 8, 340} {
			t.Run(fmt.Sprintf("%s/%d", name, routers), func(t *testing.T) {
				var r totals
				r.run(routers, 1000, 10_000, 0.9, pick, 0, time.Minute)
				r.log(t, routers)
				if r.wronglyRefused > 0 {
					t.Errorf("%d of %d requests refused within the rate", r.wronglyRefused, r.served+r.refused)
				}
			})
		}
	}
}

// TestLargeWorkspace is TestRefusalsWithinTheRate with a hundred times the rate.
func TestLargeWorkspace(t *testing.T) {
	var r totals
	r.run(8, 100_000, 1_000_000, 0.9, skewed, 0, 10*time.Second)
	r.log(t, 8)
	if r.wronglyRefused > 0 {
		t.Errorf("%d of %d requests refused within the rate", r.wronglyRefused, r.served+r.refused)
	}
}

// TestTenTimesTheRate checks that a workspace that sends ten times its rate still
// gets most of the rate and burst.
func TestTenTimesTheRate(t *testing.T) {
	for _, routers := range []int{2, 8, 340} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			var r totals
			r.run(routers, 1000, 10_000, 10, even, 0, 20*time.Second)
			r.log(t, routers)
			if r.tokens/r.seconds < 1200 {
				t.Errorf("%.0f tokens/s used, want at least 1200; rate and burst allow 1500 over 20 s", r.tokens/r.seconds)
			}
		})
	}
}

// TestFailoverRefusals replaces the owner every ten seconds, with a second without
// an owner each time, and checks that at least half of the requests are served.
func TestFailoverRefusals(t *testing.T) {
	for _, fraction := range []float64{0.5, 0.9} {
		t.Run(fmt.Sprint(fraction), func(t *testing.T) {
			var r totals
			r.run(8, 1000, 10_000, fraction, skewed, 10*time.Second, time.Minute)
			r.log(t, 8)
			if r.served < r.refused {
				t.Errorf("%d served, %d refused", r.served, r.refused)
			}
		})
	}
}

// failoverEvery replaces the owner once per interval.
func (s *fleet) failoverEvery(interval time.Duration) {
	s.schedule(interval, func() {
		s.failover(time.Second)
		s.failoverEvery(interval)
	})
}

// refill advances the time until the burst has refilled after the start of the
// first owner.
func (s *fleet) refill() {
	s.now = s.now.Add(time.Minute)
}

// runLoad sends requests for a fraction of the rate and checks in every step that
// the rate holds. A request reserves 1000 and uses 600 tokens on average.
func (s *fleet) runLoad(pick routerPicker, fraction float64, length time.Duration) {
	perStep := fraction * s.usage.rate / 600 * step.Seconds()
	for end := s.now.Add(length); s.now.Before(end); {
		s.advance()
		for n := s.rng.ExpFloat64(); n < perStep; n += s.rng.ExpFloat64() {
			tokens := 500 + s.rng.Uint64N(1001)
			used := tokens / 5 * (1 + s.rng.Uint64N(5))
			runTime := 500*time.Millisecond + time.Duration(s.rng.Int64N(int64(3*time.Second)))
			s.request(pick(s), tokens, used, 2*time.Second, runTime)
		}
		if excess := s.usage.excess(s.now); excess > s.usage.burst {
			panic(fmt.Sprintf("%.0f tokens beyond the rate", excess))
		}
	}
}
