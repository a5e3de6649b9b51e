package histogram

import (
	"math"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
)

// validate checks that the buckets exist and that their counts add up to Count.
func (s state) validate() error {
	last := s.First + len(s.Counts) - 1
	if s.First < 0 || last > bucketIndex(math.MaxInt64) || s.Count < 0 {
		return errors.Wrapf(boragewick.ErrCorrupt, "histogram of buckets %d to %d", s.First, last)
	}
	var n uint64
	for _, c := range s.Counts {
		n += c
	}
	if n != uint64(s.Count) {
		return errors.Wrapf(boragewick.ErrCorrupt, "histogram of %d values counts %d", s.Count, n)
	}
	return nil
}

// Clear removes all values.
func (h *Histogram) Clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state = state{}
}

// Count returns the number of values.
func (h *Histogram) Count() int64 { return h.copyState().Count }

// Max returns the largest value.
func (h *Histogram) Max() int64 { return h.copyState().Max }

// Min returns the smallest value.
func (h *Histogram) Min() int64 { return h.copyState().Min }

// Sum returns the sum of the values.
func (h *Histogram) Sum() int64 { return h.copyState().Sum }

// Size returns the number of buckets in memory.
func (h *Histogram) Size() int { return len(h.copyState().Counts) }

// Mean returns the mean of the values.
func (h *Histogram) Mean() float64 {
	s := h.copyState()
	if s.Count == 0 {
		return 0
	}
	return float64(s.Sum) / float64(s.Count)
}

// Percentile returns the value below or at which the share p of the values lies.
// It is the upper bound of its bucket, or the largest value if that is smaller,
// so at most an eighth too large.
func (h *Histogram) Percentile(p float64) float64 {
	return h.Percentiles([]float64{p})[0]
}

// Percentiles returns the percentile for each share in ps.
func (h *Histogram) Percentiles(ps []float64) []float64 {
	s := h.copyState()
	values := make([]float64, len(ps))
	for i, p := range ps {
		values[i] = float64(s.percentile(p))
	}
	return values
}

// percentile returns the upper bound of the bucket that holds the percentile, or
// Max if that is smaller.
func (s state) percentile(p float64) int64 {
	rank := uint64(max(1, math.Ceil(p*float64(s.Count))))
	var cumulative uint64
	for i, n := range s.Counts {
		cumulative += n
		if cumulative >= rank {
			return min(upperBound(s.First+i), s.Max)
		}
	}
	return s.Max
}

// Snapshot returns a copy.
func (h *Histogram) Snapshot() metrics.Sample {
	return &Histogram{state: h.copyState()}
}

// StdDev returns the standard deviation, taking each value as the upper bound of
// its bucket.
func (h *Histogram) StdDev() float64 { return math.Sqrt(h.Variance()) }

// Variance returns the variance, taking each value as the upper bound of its
// bucket.
func (h *Histogram) Variance() float64 {
	s := h.copyState()
	if s.Count == 0 {
		return 0
	}
	var sum, squares float64
	for i, n := range s.Counts {
		v := float64(upperBound(s.First + i))
		sum += v * float64(n)
		squares += v * v * float64(n)
	}
	mean := sum / float64(s.Count)
	return max(0, squares/float64(s.Count)-mean*mean)
}

// Values returns the upper bound of each non-empty bucket.
func (h *Histogram) Values() []int64 {
	s := h.copyState()
	var values []int64
	for i, n := range s.Counts {
		if n > 0 {
			values = append(values, upperBound(s.First+i))
		}
	}
	return values
}
