package zonespill

import "time"

const (
	// The share of requests that may leave for the sake of the target grows while the own
	// zone takes longer than growFraction of the time left until the target, and shrinks
	// while it takes less than shrinkFraction. In between it stays, so that routers which
	// see the same reports don't send their requests to and fro.
	growFraction   = 0.8
	shrinkFraction = 0.5
	// The share grows by growPerSecond for each multiple of the time left by which the
	// own zone is beyond growFraction, within these bounds. At the lower one it takes 4 s
	// to reach 1, at the upper one 0.25 s, which is longer than the lag of engines'
	// reports (0.1 s).
	growPerSecond    = 4.0
	minGrowPerSecond = 0.25
	maxGrowPerSecond = 4.0
	// shrinkPerSecond is slower than most growth, as requests that miss their target cost
	// more than requests that leave.
	shrinkPerSecond = 0.25
	// maxStep bounds the time for which one request changes the share, so that a route
	// with few requests doesn't change it on the evidence of one.
	maxStep = 250 * time.Millisecond
	// quietPeriod is how long no request must have left before spilling counts as ended.
	quietPeriod = 3 * time.Second
	// maxFlows bounds the flows. Those without a request for flowTTL are dropped.
	maxFlows = 1024
	flowTTL  = time.Minute
)

// flowKey identifies the requests of one route to one pool. Routes differ in their target
// latency, so each has a share of its own.
type flowKey struct{ pool, route string }

// flow is the state of the requests of one route to one pool.
type flow struct {
	// share is the part of the requests that may leave for the sake of the target.
	share      float64
	adjustedAt time.Time
	// credit grows by the share with each request and falls by one with each request that
	// leaves, whatever the reason.
	credit float64
	sentAt time.Time
	// last are the inputs of the newest decision, for the log.
	last inputs
	// spilling is set while requests leave the zone. The fields after it are about the
	// current period of spilling.
	spilling              bool
	spillingAt, lastOutAt time.Time
	requests, bytes       int64
}

// flow returns the state for the route and pool.
func (p *Policy) flow(pool, route string, now time.Time) *flow {
	key := flowKey{pool, route}
	f := p.flows[key]
	if f != nil {
		return f
	}
	if len(p.flows) >= maxFlows {
		for k, old := range p.flows {
			if now.Sub(old.sentAt) > flowTTL {
				delete(p.flows, k)
			}
		}
	}
	if p.flows == nil || len(p.flows) >= maxFlows {
		p.flows = map[flowKey]*flow{}
	}
	f = &flow{adjustedAt: now, sentAt: now}
	p.flows[key] = f
	return f
}

// adjust changes the share for the time since the last request.
func (f *flow) adjust(in *inputs, now time.Time) {
	step := min(now.Sub(f.adjustedAt), maxStep).Seconds()
	f.adjustedAt = now
	if step <= 0 {
		return
	}
	helps := in.other < in.own && in.other < in.left*growFraction
	switch excess := in.own/in.left - growFraction; {
	case !helps || in.own < in.left*shrinkFraction:
		f.share = max(0, f.share-shrinkPerSecond*step)
	case excess > 0:
		f.share = min(1, f.share+min(maxGrowPerSecond, max(minGrowPerSecond, growPerSecond*excess))*step)
	}
}

// mayLeave reports whether another request may leave for the sake of the target.
func (f *flow) mayLeave() bool { return f.share > 0 && f.credit+f.share >= 1 }

// count counts a request that is sent.
func (f *flow) count(out bool, now time.Time) {
	f.credit += f.share
	if out {
		f.credit--
	}
	f.credit = min(1, max(-1, f.credit))
	f.sentAt = now
}
