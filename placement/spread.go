package placement

import (
	"math"
	"time"
)

const (
	// minSpreadMillis bounds the random cost that spreads requests over equivalent
	// endpoints when this is the only router.
	minSpreadMillis = 1.0
	// maxSpreadMillis bounds the random cost for any number of routers.
	maxSpreadMillis = 60.0
	// spreadMillisPerRequest is added for each request that all routers together send
	// within reportLagSeconds. The other routers see the same endpoint as the best one
	// until its agent reports their requests.
	spreadMillisPerRequest = 0.8
	reportLagSeconds       = 0.1
	// rateWindowSeconds is the time over which the rate of requests is averaged.
	rateWindowSeconds = 2.0
)

// spread determines how far requests are spread over endpoints of similar cost. The
// more requests other routers choose an endpoint for at the same time, the less its
// reported load tells.
type spread struct {
	routers int
	pools   map[string]*requestRate
}

// requestRate is an exponentially weighted rate of requests.
type requestRate struct {
	perSecond float64
	updatedAt time.Time
}

// SetRouterCount sets the number of routers of the deployment.
func (p *Placement) SetRouterCount(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spread.routers = n
}

// addRequest counts a request of this router.
func (s *spread) addRequest(pool string, now time.Time) {
	if s.pools == nil {
		s.pools = map[string]*requestRate{}
	}
	r := s.pools[pool]
	if r == nil {
		r = &requestRate{updatedAt: now}
		s.pools[pool] = r
	}
	r.perSecond = r.at(now) + 1/rateWindowSeconds
	r.updatedAt = now
}

// at returns the rate at the time.
func (r *requestRate) at(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.updatedAt).Seconds()/rateWindowSeconds)
}

// millis returns the bound of the random cost, in milliseconds.
func (s *spread) millis(pool string, now time.Time) float64 {
	r := s.pools[pool]
	if r == nil || s.routers <= 1 {
		return minSpreadMillis
	}
	unseen := r.at(now) * float64(s.routers-1) * reportLagSeconds
	return min(maxSpreadMillis, minSpreadMillis+spreadMillisPerRequest*unseen)
}
