package placement

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/zonespill"
)

// newZonedPlacement returns a Placement in zone a with n engines whose zones are a, b and c
// in turn, unless zone returns another one. All have agents and no cached parts.
func newZonedPlacement(n int, s *boragewick.Selection, zone func(i int) string) (*Placement, *zonespill.Policy, *fakeClock) {
	policy := &zonespill.Policy{Zone: "a", Cost: 40 * time.Millisecond, Metrics: metrics.NewRegistry()}
	c := &fakeClock{time.Unix(1000, 0)}
	p := &Placement{Clock: c, Zones: policy}
	for i := range n {
		e := engine(i, "1")
		e.FailureDomain = []string{"a", "b", "c"}[i%3]
		if zone != nil {
			e.FailureDomain = zone(i)
		}
		p.Update(boragewick.EndpointChange{Endpoint: e})
		reportCache(p, e.Name, 0, *s, "1", 0)
	}
	s.Route, s.Target, s.Bytes = "r", c.now.Add(500*time.Millisecond), 1000
	return p, policy, c
}

// TestStaysInZone covers calm: the own zone has a request waiting at each engine and the
// others are idle, and the target can be met in all. Only with zones considered may this
// keep requests in the zone.
func TestStaysInZone(t *testing.T) {
	s := selection("sheet", "session", "own")
	s.PromptTokens = 3000
	p, policy, _ := newZonedPlacement(12, &s, nil)
	for i := range 12 {
		if i%3 == 0 {
			reportCache(p, fmt.Sprintf("e%02d", i), 1, s, "1", 0)
		}
	}
	c := bestCandidate(t, p, s)
	if c.Endpoint.FailureDomain != "a" || c.ZoneReason != "" {
		t.Errorf("chose zone %s, reason %s", c.Endpoint.FailureDomain, c.ZoneReason)
	}
	p.Zones = nil
	if c := bestCandidate(t, p, s); c.Endpoint.FailureDomain == "a" || c.ZoneReason != "" {
		t.Errorf("without zones: chose zone %s, reason %s", c.Endpoint.FailureDomain, c.ZoneReason)
	}
	if n := metrics.GetOrRegisterCounter("zones.requests", policy.Metrics).Count(); n != 0 {
		t.Errorf("%d requests counted before any was sent", n)
	}
}

// TestZonesNeedLearnedRates guards against deployments without advertised time factors that are
// served differently once no cost of leaving the zone is set. The own zone is a little busier.
func TestZonesNeedLearnedRates(t *testing.T) {
	for name, learned := range map[string]bool{"constants": false, "learned rates": true} {
		t.Run(name, func(t *testing.T) {
			s := selection("sheet", "session", "own")
			s.PromptTokens = 3000
			p, policy, _ := newZonedPlacement(12, &s, nil)
			policy.Cost = 0
			for i := 0; i < 12; i += 3 {
				reportCache(p, fmt.Sprintf("e%02d", i), 1, s, "1", 0)
			}
			if learned {
				p.useRates(p.endpoints["e00"], 1)
			}
			c := bestCandidate(t, p, s)
			if stays := c.Endpoint.FailureDomain == "a"; stays != learned {
				t.Errorf("chose zone %s", c.Endpoint.FailureDomain)
			}
			p.Begin(&c, &s).End()
			if n := metrics.GetOrRegisterCounter("zones.requests", policy.Metrics).Count(); n != 0 != learned {
				t.Errorf("%d requests counted", n)
			}
		})
	}
}

// TestLeavesZone covers an own zone that can't serve the request in time, and one that has
// no endpoint left for it. The expected time must not include the margin, as requests are
// refused by it.
func TestLeavesZone(t *testing.T) {
	tests := map[string]struct {
		set    func(p *Placement, s *boragewick.Selection)
		reason boragewick.ZoneReason
	}{
		"own zone overloaded": {func(p *Placement, s *boragewick.Selection) {
			for i := 0; i < 12; i += 3 {
				reportCache(p, fmt.Sprintf("e%02d", i), 20, *s, "1", 0)
			}
		}, boragewick.ZoneFaster},
		"endpoints of the own zone avoided": {func(_ *Placement, s *boragewick.Selection) {
			s.Avoid = func(name string) bool { return name == "e00" || name == "e03" || name == "e06" || name == "e09" }
		}, boragewick.ZoneNoEndpoints},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := selection("sheet", "session", "own")
			p, policy, clock := newZonedPlacement(12, &s, nil)
			test.set(p, &s)
			c := bestCandidate(t, p, s)
			if c.Endpoint.FailureDomain == "a" || c.ZoneReason != test.reason {
				t.Errorf("chose zone %s, reason %q", c.Endpoint.FailureDomain, c.ZoneReason)
			}
			// 9,200 tokens at 50 a millisecond, a new connection and the spread.
			if took := c.FirstToken.Sub(clock.now); took > 201*time.Millisecond {
				t.Errorf("expected after %s", took)
			}
			p.Begin(&c, &s).End()
			for _, counter := range []string{"zones.out.requests", "zones.out.reason_" + string(test.reason)} {
				if n := metrics.GetOrRegisterCounter(counter, policy.Metrics).Count(); n != 1 {
					t.Errorf("%s is %d", counter, n)
				}
			}
		})
	}
}

// TestUnknownZones covers endpoints whose zones nobody reports: they are chosen as if there
// were no zones.
func TestUnknownZones(t *testing.T) {
	s := selection("sheet", "session", "own")
	p, policy, _ := newZonedPlacement(6, &s, func(i int) string { return []string{"a", ""}[i%2] })
	for i := 0; i < 6; i += 2 {
		reportCache(p, fmt.Sprintf("e%02d", i), 1, s, "1", 0)
	}
	c := bestCandidate(t, p, s)
	if c.Endpoint.FailureDomain != "" {
		t.Errorf("chose zone %s", c.Endpoint.FailureDomain)
	}
	p.Begin(&c, &s).End()
	if n := metrics.GetOrRegisterCounter("zones.unknown.requests", policy.Metrics).Count(); n != 1 {
		t.Errorf("%d requests counted", n)
	}
}

// TestFetchesWithinZone guards against copies of KV cache from another zone where an engine
// of the same zone has the same parts, and against one of the same zone that has fewer.
func TestFetchesWithinZone(t *testing.T) {
	tests := map[string]struct {
		holders map[int]int // parts cached, by engine
		want    int
	}{
		"the same parts in all zones":      {map[int]int{1: 2, 2: 2, 3: 2, 4: 2, 5: 2}, 3},
		"more parts in another zone":       {map[int]int{1: 2, 3: 1}, 1},
		"no parts in the zone":             {map[int]int{1: 2}, 1},
		"the endpoint itself and another":  {map[int]int{0: 1, 3: 2, 4: 2}, 3},
		"the same zone is the last to add": {map[int]int{1: 2, 2: 2, 9: 2}, 9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := selection("sheet", "session", "own")
			p, _, _ := newZonedPlacement(12, &s, nil)
			for i, parts := range test.holders {
				reportCache(p, fmt.Sprintf("e%02d", i), 0, s, "1", parts)
			}
			choices := p.eligible(&s, p.now())
			p.group(choices, &s, p.now())
			src := choices[0].source(choices[0].known)
			if want := engine(test.want, "1").Agent; src.addr != want {
				t.Errorf("fetches from %s, want %s", src.addr, want)
			}
			speed := fetchTokensPerMilli
			if test.want%3 != 0 {
				speed /= otherZoneFetchFactor
			}
			if src.speed != speed {
				t.Errorf("speed %g, want %g", src.speed, speed)
			}
		})
	}
	// Off: the order of the endpoints decides as before.
	s := selection("sheet", "session", "own")
	p, _, _ := newZonedPlacement(6, &s, nil)
	p.Zones = nil
	for _, i := range []int{1, 2, 3} {
		reportCache(p, fmt.Sprintf("e%02d", i), 0, s, "1", 2)
	}
	choices := p.eligible(&s, p.now())
	p.group(choices, &s, p.now())
	if src := choices[0].source(0); src.addr != engine(1, "1").Agent || src.speed != fetchTokensPerMilli {
		t.Errorf("without zones: fetches from %s", src.addr)
	}
}

// BenchmarkSelectWithZones measures one choice of an endpoint with zones considered. The
// pools have 3 and 23 zones; compare BenchmarkSelect.
func BenchmarkSelectWithZones(b *testing.B) {
	for n, zones := range map[int]int{117: 3, 3000: 23} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := selection("sheet", "session", "own")
			p, _, _ := newZonedPlacement(n, &s, func(i int) string { return fmt.Sprint("zone-", i%zones) })
			for i := range n {
				reportCache(p, fmt.Sprintf("e%02d", i), i%3, s, "1", i%3)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := p.Select(context.Background(), s); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
