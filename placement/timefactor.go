package placement

import "time"

const (
	// timeFactorTTL is how long the newest time factor of an endpoint counts. Endpoints
	// that share their instance become slow and fast again several times a second.
	timeFactorTTL = 300 * time.Millisecond
	// timeFactorWeight is the weight of a new time factor in the average.
	timeFactorWeight = 0.1
	// An endpoint that has answered nothing for timeFactorIdle counts as closer to usual,
	// and after timeFactorFade more as half as far from it. Otherwise one that was last seen
	// slow would get no request of this router, and so no chance to say that it is fast,
	// until all others are slower.
	timeFactorIdle = 10 * time.Second
	timeFactorFade = 30 * time.Second
	// maxTimeFactor bounds factors to the range that costs may have within a pool, so that
	// the average is not far beyond it.
	maxTimeFactor = 5.0
)

// timeFactor is how long work takes at an endpoint, relative to the usual, as its answers
// report it. The zero value means that nothing is known.
type timeFactor struct {
	newest     float64
	newestTill time.Time
	average    float64
}

// note records a reported factor.
func (f *timeFactor) note(factor float64, now time.Time) {
	if !(factor > 0) { // also if it is not a number
		return
	}
	factor = max(1/maxTimeFactor, min(maxTimeFactor, factor))
	f.newest, f.newestTill = factor, now.Add(timeFactorTTL)
	if f.average == 0 {
		f.average = factor
	}
	f.average += timeFactorWeight * (factor - f.average)
}

// at returns the factor to expect now.
func (f *timeFactor) at(now time.Time) float64 {
	switch {
	case f.average == 0:
		return 1
	case now.Before(f.newestTill):
		return f.newest
	default:
		fade := float64(timeFactorFade)
		idle := max(0, now.Sub(f.newestTill)-timeFactorIdle)
		return 1 + (f.average-1)*fade/(fade+float64(idle))
	}
}
