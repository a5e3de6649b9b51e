package placement

import (
	"time"

	"github.com/boragewick/boragewick"
)

// otherZoneFetchFactor is how many times as long engines take to fetch cached parts from
// another zone.
const otherZoneFetchFactor = 2.0

// considersZones reports whether zones are considered for requests to the pool.
func (p *Placement) considersZones(pool string) bool {
	if p.Zones == nil {
		return false
	}
	r := p.rates[pool]
	return p.Zones.Applies(r != nil && r.inUse)
}

// addZoneMargins sets the margins of the choices by their zones.
func (p *Placement) addZoneMargins(choices []choice, s *boragewick.Selection, now time.Time) {
	if !p.considersZones(s.Pool) {
		return
	}
	d := boragewick.ZoneDemand{Pool: s.Pool, Route: s.Route, At: now, Target: s.Target, TargetLatency: s.TargetLatency, Bytes: s.Bytes}
	indexes := map[string]int{}
	for i := range choices {
		c := &choices[i]
		at, ok := indexes[c.FailureDomain]
		if !ok {
			at = len(d.Zones)
			indexes[c.FailureDomain] = at
			d.Zones = append(d.Zones, boragewick.ZoneCost{Zone: c.FailureDomain, Millis: c.cost})
		}
		c.zone = at
		z := &d.Zones[at]
		z.Endpoints++
		z.Millis = min(z.Millis, c.cost)
	}
	p.Zones.SetMargins(&d)
	for i := range choices {
		z := &d.Zones[choices[i].zone]
		choices[i].margin, choices[i].zoneReason = z.Margin, z.Reason
	}
}

// recordZone records that the request is sent to the candidate.
func (p *Placement) recordZone(c *boragewick.Candidate, s *boragewick.Selection) {
	if !p.considersZones(s.Pool) {
		return
	}
	p.Zones.RecordSent(boragewick.ZoneDispatch{
		Pool: s.Pool, Route: s.Route, At: p.now(), Zone: c.Endpoint.FailureDomain, Reason: c.ZoneReason, Bytes: s.Bytes,
	})
}

// isInOtherZone reports whether both endpoints' zones are known and differ.
func (s *endpointState) isInOtherZone(other *endpointState) bool {
	return s.FailureDomain != "" && other.FailureDomain != "" && s.FailureDomain != other.FailureDomain
}

// holdersIn returns where the holders in the zone of the first known parts are recorded;
// nil if they are not recorded by zone.
func (g *weightsGroup) holdersIn(zone string, known int) []holderPair {
	if !g.byZone || zone == "" || known == 0 {
		return nil
	}
	if g.zoneHolders == nil {
		g.zoneHolders = map[string][]holderPair{}
	}
	if g.zoneHolders[zone] == nil {
		g.zoneHolders[zone] = make([]holderPair, len(g.partKeys))
	}
	return g.zoneHolders[zone]
}

// zoneHolder returns an endpoint in the zone of s, other than s, that has the first i+1
// parts cached; nil if there is none.
func (g *weightsGroup) zoneHolder(s *endpointState, i int) *endpointState {
	if list := g.zoneHolders[s.FailureDomain]; list != nil {
		return list[i].except(s)
	}
	return nil
}
