// Package zonespill decides how much better endpoints of other zones must be than those
// of the router's own zone, and thereby how much traffic leaves the zone.
package zonespill

import (
	"math"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
)

const (
	// roundTripMillis is the assumed round trip to another zone. Between the zones of the
	// deployments seen so far, one way took 0.9 ms.
	roundTripMillis = 2.0
	// lateImprovement is the part of the expected time in the own zone by which another
	// zone must be faster if both would miss the target. A late answer has the same value
	// in both zones, so requests must not leave because of the error of the estimates.
	lateImprovement = 0.25
	// fewDivisor sets below which part of the mean number of endpoints in the other zones
	// the own zone has too few: its routers together would overload them at once, before
	// their load is reported.
	fewDivisor = 4
	// stayFraction is the part of the route's target latency that a request may lose by
	// staying in its zone, where the price is not set. An answer within the target has its
	// full value, so callers lose nothing by it as long as the target is met.
	stayFraction = 0.05
	// untargetedCost is the price for routes without a target latency.
	untargetedCost = 20 * time.Millisecond
	// The price of bytes of a request is scaled by its size, relative to the mean of the
	// pool, between minSizeFactor and maxSizeFactor.
	minSizeFactor = 0.25
	maxSizeFactor = 4.0
	// meanWeight is the weight of a request in the mean size of its pool.
	meanWeight = 1.0 / 64
)

// Policy is a boragewick.ZonePolicy for the requests of one router. Its fields are set
// before use. It is safe for concurrent use.
type Policy struct {
	// Zone is the router's own zone. If it is empty, zones are not considered.
	Zone string
	// Cost is what leaving the zone costs beyond the round trip for a request of mean
	// size, as the time to the first token that is worth as much. If it is zero, it follows
	// from the target latency of each route.
	Cost time.Duration
	// AllPools makes the policy apply to pools without learned rates also if Cost is zero.
	AllPools bool
	Logger   log.Logger
	Metrics  metrics.Registry

	mu    sync.Mutex
	flows map[flowKey]*flow
	// meanBytes is the mean size of the requests of each pool.
	meanBytes map[string]float64
}

var _ boragewick.ZonePolicy = (*Policy)(nil)

// inputs are the values on which a decision is based, in milliseconds. left is the time
// until the target latency; it is infinite without a target.
type inputs struct {
	own, other, left, full   float64
	ownEndpoints, otherZones int
	otherEndpoints           int
}

// Applies implements boragewick.ZonePolicy.
func (p *Policy) Applies(learned bool) bool {
	return p.Zone != "" && (p.Cost > 0 || p.AllPools || learned)
}

// SetMargins implements boragewick.ZonePolicy.
func (p *Policy) SetMargins(d *boragewick.ZoneDemand) {
	if p.Zone == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	in := p.inputs(d)
	f := p.flow(d.Pool, d.Route, d.At)
	// An attempt after the target says nothing of how the target of others is met.
	if in.ownEndpoints > 0 && in.otherZones > 0 && in.left > 0 {
		f.adjust(&in, d.At)
	}
	mayLeave := f.mayLeave()
	f.last = in
	for i := range d.Zones {
		z := &d.Zones[i]
		switch z.Zone {
		case p.Zone:
		case "":
			z.Reason = boragewick.ZoneUnknown
		default:
			z.Margin, z.Reason = in.margin(z.Millis, mayLeave)
		}
	}
}

// inputs returns the values on which the decision for the request is based.
func (p *Policy) inputs(d *boragewick.ZoneDemand) inputs {
	in := inputs{own: math.Inf(1), other: math.Inf(1), left: math.Inf(1), full: p.fullMargin(d)}
	if !d.Target.IsZero() {
		in.left = millis(d.Target.Sub(d.At))
	}
	for i := range d.Zones {
		switch z := &d.Zones[i]; z.Zone {
		case p.Zone:
			in.own, in.ownEndpoints = z.Millis, z.Endpoints
		case "":
		default:
			in.other = min(in.other, z.Millis+roundTripMillis)
			in.otherZones++
			in.otherEndpoints += z.Endpoints
		}
	}
	return in
}

// fullMargin returns what leaving the zone costs.
func (p *Policy) fullMargin(d *boragewick.ZoneDemand) float64 {
	size := 1.0
	if mean := p.meanBytes[d.Pool]; mean > 0 && d.Bytes > 0 {
		size = min(maxSizeFactor, max(minSizeFactor, float64(d.Bytes)/mean))
	}
	return roundTripMillis + millis(p.cost(d))*size
}

// cost returns what leaving the zone costs for a request of mean size.
func (p *Policy) cost(d *boragewick.ZoneDemand) time.Duration {
	switch {
	case p.Cost > 0:
		return p.Cost
	case d.TargetLatency > 0:
		return time.Duration(stayFraction * float64(d.TargetLatency))
	default:
		return untargetedCost
	}
}

// hasFewEndpoints reports whether the own zone has far fewer endpoints than the others.
func (in *inputs) hasFewEndpoints() bool {
	return in.ownEndpoints*fewDivisor*in.otherZones < in.otherEndpoints
}

// margin returns the margin of a zone with the expected time, and why a request may go
// there. mayLeave reports whether the share of requests that leave allows another one
// for the sake of the target.
func (in *inputs) margin(other float64, mayLeave bool) (float64, boragewick.ZoneReason) {
	if in.ownEndpoints == 0 {
		return 0, boragewick.ZoneNoEndpoints
	}
	if in.hasFewEndpoints() {
		return 0, boragewick.ZoneFewEndpoints
	}
	if math.IsInf(in.left, 1) {
		return in.full, boragewick.ZoneFaster
	}
	other += roundTripMillis
	if other >= in.left && in.own >= in.left {
		return max(in.full, in.own*lateImprovement), boragewick.ZoneFaster
	}
	// An answer has its full value until the target, so the time that the own zone can
	// lose without a risk for the target is no gain.
	if spare := in.left*shrinkFraction - in.own; spare >= 0 {
		return in.full + spare, boragewick.ZoneFaster
	}
	// The margin falls to zero as the own zone comes near the target. It does not fall if
	// the other zone is near the target as well: its routers would send requests here.
	part := max((in.left-in.own)/(in.left*(1-shrinkFraction)), (other-in.left*shrinkFraction)/(in.left*(growFraction-shrinkFraction)))
	if part >= 1 || !mayLeave {
		return in.full, boragewick.ZoneFaster
	}
	return in.full * max(0, part), boragewick.ZoneTarget
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
