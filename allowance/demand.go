package allowance

import (
	"math"
	"time"
)

const (
	// demandSeconds is the time constant of the averaged demand.
	demandSeconds = 1.0
	// usualSeconds is that of the usual demand, by which callers are spread that come back
	// after an outage.
	usualSeconds = 8.0
	// prefetchSeconds is the duration of demand for which tokens are prefetched.
	prefetchSeconds = 1.0
	// prefetchRequests is the minimum number of expected requests for which
	// tokens are prefetched; with fewer, tokens would rarely be held when a
	// request arrives.
	prefetchRequests = 4
)

// demand estimates the tokens that a router's requests for one workspace need.
type demand struct {
	last       time.Time
	perSecond  float64
	usual      float64 // as perSecond, over usualSeconds
	meanTokens float64 // of a request
}

func (d *demand) add(now time.Time, tokens uint64) {
	n := float64(tokens)
	d.perSecond = d.rate(now) + n/demandSeconds
	d.usual = d.usualRate(now) + n/usualSeconds
	if d.meanTokens == 0 {
		d.meanTokens = n
	}
	d.meanTokens += (n - d.meanTokens) / 8
	d.last = now
}

// rate returns the estimated demand in tokens per second.
func (d *demand) rate(now time.Time) float64 {
	return d.perSecond * math.Exp(-now.Sub(d.last).Seconds()/demandSeconds)
}

// usualRate returns the demand over the last usualSeconds in tokens per second.
func (d *demand) usualRate(now time.Time) float64 {
	return d.usual * math.Exp(-now.Sub(d.last).Seconds()/usualSeconds)
}

// expected returns the number of tokens to hold; zero when they would rarely
// serve a request.
func (d *demand) expected(now time.Time) uint64 {
	tokens := d.rate(now) * prefetchSeconds
	if tokens < prefetchRequests*d.meanTokens {
		return 0
	}
	return uint64(tokens)
}
