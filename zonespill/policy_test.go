package zonespill

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
)

const (
	targetMillis = 500
	// fullMillis is the full margin of newPolicy.
	fullMillis = 42.0
)

func newPolicy() *Policy {
	return &Policy{Zone: "a", Cost: 40 * time.Millisecond, Metrics: metrics.NewRegistry()}
}

// demand returns a request at the given time with the costs of the zones a, b and so on,
// each of which has 12 endpoints; a negative cost is that of a zone without endpoints.
func demand(at time.Time, costs ...float64) *boragewick.ZoneDemand {
	d := &boragewick.ZoneDemand{Pool: "p", Route: "r", At: at, Target: at.Add(targetMillis * time.Millisecond), Bytes: 1000}
	for i, c := range costs {
		if c >= 0 {
			d.Zones = append(d.Zones, boragewick.ZoneCost{Zone: string(rune('a' + i)), Endpoints: 12, Millis: c})
		}
	}
	return d
}

// choose has the policy set the margins and returns the best zone with the reason.
func choose(p *Policy, d *boragewick.ZoneDemand) *boragewick.ZoneCost {
	p.SetMargins(d)
	best := &d.Zones[0]
	for i := range d.Zones {
		if z := &d.Zones[i]; z.Millis+z.Margin < best.Millis+best.Margin {
			best = z
		}
	}
	return best
}

// send chooses a zone for the request and records that it is sent there.
func send(p *Policy, d *boragewick.ZoneDemand) string {
	z := choose(p, d)
	p.RecordSent(boragewick.ZoneDispatch{Pool: d.Pool, Route: d.Route, At: d.At, Zone: z.Zone, Reason: z.Reason, Bytes: d.Bytes})
	return z.Zone
}

// repeat sends requests with the same costs for the time, 20 a second, and returns how
// many of them left zone a.
func repeat(p *Policy, from time.Time, d time.Duration, costs ...float64) (out, total int) {
	for at := from; at.Before(from.Add(d)); at = at.Add(50 * time.Millisecond) {
		total++
		if send(p, demand(at, costs...)) != "a" {
			out++
		}
	}
	return out, total
}

func count(p *Policy, name string) int64 {
	return metrics.GetOrRegisterCounter(name, p.Metrics).Count()
}

// TestMargins guards against margins that keep requests in a zone that can't serve them,
// and against ones that let them leave for nothing.
func TestMargins(t *testing.T) {
	start := time.Unix(1000, 0)
	few := demand(start, 100, 100)
	few.Zones[0].Endpoints = 2
	noTarget := demand(start, 3000, 100)
	noTarget.Target = time.Time{}
	passed := demand(start, 100, 80)
	passed.Target = start.Add(-time.Second)
	unknown := demand(start, 100, 90)
	unknown.Zones[1].Zone = ""
	tests := map[string]struct {
		share  float64
		demand *boragewick.ZoneDemand
		margin float64
		reason boragewick.ZoneReason
	}{
		"calm":                                       {0, demand(start, 100, 60), fullMillis + 150, boragewick.ZoneFaster},
		"calm after spilling":                        {1, demand(start, 100, 60), fullMillis + 150, boragewick.ZoneFaster},
		"own zone near the target":                   {1, demand(start, 375, 60), fullMillis / 2, boragewick.ZoneTarget},
		"own zone near the target, no share":         {0, demand(start, 375, 60), fullMillis, boragewick.ZoneFaster},
		"own zone misses the target":                 {1, demand(start, 600, 60), 0, boragewick.ZoneTarget},
		"all zones near the target":                  {1, demand(start, 480, 400), fullMillis, boragewick.ZoneFaster},
		"own zone late, the other near the target":   {1, demand(start, 600, 400), fullMillis, boragewick.ZoneFaster},
		"all zones overloaded":                       {1, demand(start, 2000, 1800), 500, boragewick.ZoneFaster},
		"only the other zone overloaded":             {1, demand(start, 400, 499), fullMillis, boragewick.ZoneFaster},
		"own zone without endpoints":                 {0, demand(start, -1, 60), 0, boragewick.ZoneNoEndpoints},
		"own zone with few endpoints":                {0, few, 0, boragewick.ZoneFewEndpoints},
		"route without a target":                     {1, noTarget, fullMillis, boragewick.ZoneFaster},
		"second attempt, the target has been missed": {1, passed, fullMillis, boragewick.ZoneFaster},
		"unknown zone of the endpoint":               {0, unknown, 0, boragewick.ZoneUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPolicy()
			p.flow("p", "r", start).share = test.share
			p.SetMargins(test.demand)
			for _, z := range test.demand.Zones {
				if z.Zone == "a" && (z.Margin != 0 || z.Reason != "") {
					t.Errorf("margin %g in the own zone, reason %s", z.Margin, z.Reason)
				}
			}
			z := test.demand.Zones[len(test.demand.Zones)-1]
			if z.Margin != test.margin || z.Reason != test.reason {
				t.Errorf("margin %g for %s, want %g for %s", z.Margin, z.Reason, test.margin, test.reason)
			}
		})
	}
}

// TestUnknownOwnZone covers a router whose settings name no zone: it must choose as if
// there were no zones.
func TestUnknownOwnZone(t *testing.T) {
	p := newPolicy()
	p.Zone = ""
	if z := choose(p, demand(time.Unix(1000, 0), 100, 99)); z.Zone != "b" || z.Margin != 0 {
		t.Errorf("chose %+v", z)
	}
}

// TestPriceGrowsWithBytes guards against a price that is the same for short and long
// requests, and against one without a bound.
func TestPriceGrowsWithBytes(t *testing.T) {
	p, start := newPolicy(), time.Unix(1000, 0)
	repeat(p, start, 100*time.Millisecond, 100, 100)
	for size, want := range map[int]float64{1000: 42, 2000: 82, 500: 22, 10: 12, 1000000: 162, 0: 42} {
		d := demand(start, 250, 100)
		d.Bytes = size
		p.SetMargins(d)
		if got := d.Zones[1].Margin; got != want {
			t.Errorf("margin %g with %d bytes, want %g", got, size, want)
		}
	}
}

// TestCostFollowsTarget guards against a cost that makes requests of a route with a short
// target latency late, where no cost is set: the margin must be a small part of what the
// route's callers wait for.
func TestCostFollowsTarget(t *testing.T) {
	tests := map[string]struct {
		set, target time.Duration
		want        float64
	}{
		"short target":  {0, 150 * time.Millisecond, roundTripMillis + 7.5},
		"long target":   {0, time.Second, roundTripMillis + 50},
		"no target":     {0, 0, roundTripMillis + 20},
		"a cost is set": {40 * time.Millisecond, 150 * time.Millisecond, roundTripMillis + 40},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, start := newPolicy(), time.Unix(1000, 0)
			p.Cost = test.set
			d := demand(start, 100, 60)
			d.TargetLatency, d.Target = test.target, time.Time{}
			p.SetMargins(d)
			if got := d.Zones[1].Margin; got != test.want {
				t.Errorf("margin %g, want %g", got, test.want)
			}
		})
	}
}

// TestAppliesWhereCalledFor guards against zones that are considered in deployments whose
// endpoints advertise no time factor and whose settings don't ask for it.
func TestAppliesWhereCalledFor(t *testing.T) {
	tests := map[string]struct {
		policy              *Policy
		learned, notLearned bool
	}{
		"cost not set":            {&Policy{Zone: "a"}, true, false},
		"cost set":                {&Policy{Zone: "a", Cost: 40 * time.Millisecond}, true, true},
		"cost not set, all pools": {&Policy{Zone: "a", AllPools: true}, true, true},
		"unknown zone":            {&Policy{Cost: 40 * time.Millisecond, AllPools: true}, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := test.policy
			if p.Applies(true) != test.learned || p.Applies(false) != test.notLearned {
				t.Errorf("applies with learned times %t, without %t", p.Applies(true), p.Applies(false))
			}
		})
	}
}

// TestCalm guards against requests that leave the zone although it is nearly as fast.
func TestCalm(t *testing.T) {
	p := newPolicy()
	for i := range 200 {
		at := time.Unix(1000, 0).Add(time.Duration(i) * 50 * time.Millisecond)
		if zone := send(p, demand(at, 90+float64(i%7)*5, 100, 90)); zone != "a" {
			t.Fatalf("request %d went to zone %s", i, zone)
		}
	}
	if n := count(p, "zones.requests"); n != 200 {
		t.Errorf("%d requests counted", n)
	}
	if n := count(p, "zones.out.requests"); n != 0 {
		t.Errorf("%d requests counted as sent out", n)
	}
}

// TestAllZonesOverloaded guards against requests that leave for a zone that would miss the
// target as well, because of differences as large as the error of the estimates.
func TestAllZonesOverloaded(t *testing.T) {
	p := newPolicy()
	if out, total := repeat(p, time.Unix(1000, 0), 10*time.Second, 2500, 2100, 2300); out > 0 {
		t.Errorf("%d of %d requests left", out, total)
	}
	if share := p.flow("p", "r", time.Unix(1010, 0)).share; share > 0 {
		t.Errorf("a share of %g may leave once another zone is a little faster", share)
	}
	// One that has far shorter queues is worth it: callers don't wait for ever.
	if z := choose(p, demand(time.Unix(1010, 0), 2500, 1000)); z.Zone != "b" {
		t.Errorf("a request waits in zone %s", z.Zone)
	}
}

// TestShareGrowsAndShrinks guards against a share that changes at once when the own zone is
// a little slower, or that never returns to zero.
func TestShareGrowsAndShrinks(t *testing.T) {
	p, start := newPolicy(), time.Unix(1000, 0)
	p.Cost = 200 * time.Millisecond
	p.SetMargins(demand(start, 100, 100))
	// Zone b is better by less than the full margin, so only the share lets requests leave.
	phases := []struct {
		name     string
		own, b   float64
		took     time.Duration
		min, max int // of the requests, in percent
	}{
		{"nearly late, first second", 450, 300, time.Second, 5, 50},
		{"nearly late, later", 450, 300, 4 * time.Second, 50, 100},
		{"between the thresholds", 380, 200, 3 * time.Second, 100, 100},
		{"calm", 100, 80, 5 * time.Second, 0, 0},
		{"between the thresholds after calm", 380, 200, 3 * time.Second, 0, 0},
	}
	for _, ph := range phases {
		out, total := repeat(p, start, ph.took, ph.own, ph.b)
		if percent := 100 * out / total; percent < ph.min || percent > ph.max {
			t.Errorf("%s: %d%% left, want %d to %d", ph.name, percent, ph.min, ph.max)
		}
		start = start.Add(ph.took)
	}
}

// TestShareIsKept guards against requests that leave beyond the share, or less often, while
// it neither grows nor shrinks.
func TestShareIsKept(t *testing.T) {
	for _, percent := range []int{10, 30, 70} {
		p, start := newPolicy(), time.Unix(1000, 0)
		p.Cost = 200 * time.Millisecond
		p.flow("p", "r", start).share = float64(percent) / 100
		if out, total := repeat(p, start, 50*time.Second, 380, 200); out < total*percent/100-2 || out > total*percent/100+2 {
			t.Errorf("%d of %d requests left, want %d%%", out, total, percent)
		}
	}
}

// TestRetriesKeepShare guards against further attempts, and moves of runs, that change the
// share: their target has been missed, or they may go to one zone only.
func TestRetriesKeepShare(t *testing.T) {
	p, start := newPolicy(), time.Unix(1000, 0)
	f := p.flow("p", "r", start)
	f.share = 0.5
	for i := range 100 {
		d := demand(start.Add(time.Duration(i)*50*time.Millisecond), 600, 100)
		switch i % 3 {
		case 0:
			d.Target = start.Add(-time.Second)
		case 1:
			d.Zones = d.Zones[:1]
		case 2:
			d.Zones = d.Zones[1:]
		}
		p.SetMargins(d)
	}
	if f.share != 0.5 {
		t.Errorf("share %g", f.share)
	}
}

// TestRoutesAreApart guards against a route with a long target latency whose requests undo
// the share of a route with a short one.
func TestRoutesAreApart(t *testing.T) {
	p, start := newPolicy(), time.Unix(1000, 0)
	p.Cost = 200 * time.Millisecond
	for i := range 100 {
		at := start.Add(time.Duration(i) * 50 * time.Millisecond)
		send(p, demand(at, 450, 300))
		slow := demand(at, 450, 300)
		slow.Route, slow.Target = "slow", at.Add(3*time.Second)
		if zone := send(p, slow); zone != "a" {
			t.Fatalf("a request of the slow route went to zone %s", zone)
		}
	}
	if zone := send(p, demand(start.Add(5*time.Second), 450, 300)); zone != "b" {
		t.Errorf("a late request stayed in zone %s", zone)
	}
}

// TestOwnZoneCutOff covers a zone whose endpoints are lost and come back: requests must
// leave at once, and stay again as soon as it has enough endpoints.
func TestOwnZoneCutOff(t *testing.T) {
	p, start := newPolicy(), time.Unix(1000, 0)
	if out, _ := repeat(p, start, time.Second, 100, 100); out > 0 {
		t.Fatalf("%d requests left before", out)
	}
	if out, total := repeat(p, start.Add(time.Second), time.Second, -1, 400); out < total {
		t.Errorf("%d of %d requests left", out, total)
	}
	if out, _ := repeat(p, start.Add(2*time.Second), time.Second, 100, 80); out > 0 {
		t.Errorf("%d requests left afterwards", out)
	}
	if n := count(p, "zones.out.reason_no_endpoints"); n != 20 {
		t.Errorf("%d requests counted", n)
	}
	if n := count(p, "zones.out.bytes"); n != 20000 {
		t.Errorf("%d bytes counted", n)
	}
}

// TestLogOfSpilling guards against a line for each request, and against spilling whose
// start, end or inputs are not logged.
func TestLogOfSpilling(t *testing.T) {
	p, start := newPolicy(), time.Unix(1000, 0)
	var out bytes.Buffer
	p.Logger = log.NewLogfmtLogger(&out)
	repeat(p, start, time.Second, 100, 100)
	repeat(p, start.Add(time.Second), 2*time.Second, 900, 100)
	repeat(p, start.Add(3*time.Second), 5*time.Second, 100, 100)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("%d lines:\n%s", len(lines), out.String())
	}
	for i, want := range []string{
		"level=info msg=\"requests leave the zone\" zone=a pool=p route=r reason=faster to=b own_ms=900 other_ms=102 left_ms=500",
		"level=info msg=\"requests stay in the zone again\" zone=a pool=p route=r took_ms=1950 requests=40 bytes=40000 own_ms=100",
	} {
		if !strings.HasPrefix(lines[i], want) {
			t.Errorf("line %q, want %q", lines[i], want)
		}
	}
}

// TestFlowsAreBounded guards against a router's memory that grows with every route that
// ever was.
func TestFlowsAreBounded(t *testing.T) {
	p := newPolicy()
	for i := range 3 * maxFlows {
		d := demand(time.Unix(1000+int64(i), 0), 100, 100)
		d.Route = fmt.Sprint("r", i)
		d.Pool = d.Route
		send(p, d)
	}
	if len(p.flows) > maxFlows || len(p.meanBytes) > maxFlows+1 {
		t.Errorf("%d flows, %d pools", len(p.flows), len(p.meanBytes))
	}
}
