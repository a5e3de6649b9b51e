package zonespill

import (
	"math"

	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
)

// RecordSent implements boragewick.ZonePolicy.
func (p *Policy) RecordSent(d boragewick.ZoneDispatch) {
	if p.Zone == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	out := d.Zone != "" && d.Zone != p.Zone
	if p.meanBytes == nil || len(p.meanBytes) > maxFlows {
		p.meanBytes = map[string]float64{}
	}
	if mean, ok := p.meanBytes[d.Pool]; ok {
		p.meanBytes[d.Pool] = mean + (float64(d.Bytes)-mean)*meanWeight
	} else {
		p.meanBytes[d.Pool] = float64(d.Bytes)
	}
	f := p.flow(d.Pool, d.Route, d.At)
	f.count(out, d.At)
	p.countMetrics(&d, out)
	switch {
	case out:
		if !f.spilling {
			f.spilling, f.spillingAt, f.requests, f.bytes = true, d.At, 0, 0
			p.logSpill("requests leave the zone", f, &d, "reason", d.Reason, "to", d.Zone)
		}
		f.lastOutAt = d.At
		f.requests++
		f.bytes += int64(d.Bytes)
	case f.spilling && d.At.Sub(f.lastOutAt) >= quietPeriod:
		f.spilling = false
		p.logSpill("requests stay in the zone again", f, &d, "took_ms", f.lastOutAt.Sub(f.spillingAt).Milliseconds(),
			"requests", f.requests, "bytes", f.bytes)
	}
}

// logSpill logs that requests begin or cease to leave the zone, with the inputs of the
// newest decision.
func (p *Policy) logSpill(msg string, f *flow, d *boragewick.ZoneDispatch, more ...any) {
	if p.Logger == nil {
		return
	}
	in := &f.last
	fields := append([]any{"msg", msg, "zone", p.Zone, "pool", d.Pool, "route", d.Route}, more...)
	_ = level.Info(p.Logger).Log(append(fields, "own_ms", round(in.own), "other_ms", round(in.other), "left_ms", round(in.left),
		"full_margin_ms", round(in.full), "share", math.Round(f.share*100)/100, "own_endpoints", in.ownEndpoints, "other_endpoints", in.otherEndpoints)...)
}

// round returns the value in tenths.
func round(ms float64) float64 { return math.Round(ms*10) / 10 }

// countMetrics counts a request that is sent.
func (p *Policy) countMetrics(d *boragewick.ZoneDispatch, out bool) {
	if p.Metrics == nil {
		return
	}
	count := func(name string, n int) { metrics.GetOrRegisterCounter(name, p.Metrics).Inc(int64(n)) }
	count("zones.requests", 1)
	if d.Zone == "" {
		count("zones.unknown.requests", 1)
	}
	if out {
		count("zones.out.requests", 1)
		count("zones.out.bytes", d.Bytes)
		count("zones.out.reason_"+string(d.Reason), 1)
	}
}
