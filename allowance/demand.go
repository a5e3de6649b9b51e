package allowance

import (
	"math"
	"time"
)

const (
	// demandSeconds is the time constant of the averages.
	demandSeconds = 1.0
	// prefetchSeconds is how far ahead tokens are asked for.
	prefetchSeconds = 1.0
	// prefetchRequests is the least number of requests that tokens are asked
	// for ahead; fewer would rarely be there when they come.
	prefetchRequests = 4
)

// demand estimates what a router's requests for one workspace need.
type demand struct {
	last      time.Time
	perSecond float64
	size      float64 // mean tokens of a request
}

func (d *demand) add(now time.Time, tokens uint64) {
	n := float64(tokens)
	d.perSecond = d.at(now) + n/demandSeconds
	if d.size == 0 {
		d.size = n
	}
	d.size += (n - d.size) / 8
	d.last = now
}

// at returns the estimate in tokens per second.
func (d *demand) at(now time.Time) float64 {
	return d.perSecond * math.Exp(-now.Sub(d.last).Seconds()/demandSeconds)
}

// expected returns the tokens to have in hand; zero when they would rarely
// serve a request.
func (d *demand) expected(now time.Time) uint64 {
	tokens := d.at(now) * prefetchSeconds
	if tokens < prefetchRequests*d.size {
		return 0
	}
	return uint64(tokens)
}
