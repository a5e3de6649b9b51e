// Package histogram implements a histogram with fixed buckets whose width grows
// with the value, so that histograms of many processes can be merged and
// percentiles taken from the result.
package histogram

import (
	"math"
	"math/bits"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"
)

const (
	// subBits is the base-2 logarithm of subBuckets.
	subBits = 3
	// subBuckets is the number of buckets per doubling of the value. It bounds
	// the error of percentiles to an eighth of the value.
	subBuckets = 1 << subBits
)

// Histogram counts non-negative values; negative ones count as zero. It uses 8
// bytes for each bucket between the smallest and the largest value, 4 KB at most.
// It is a metrics.Sample and is safe for concurrent use.
type Histogram struct {
	mu    sync.Mutex
	state state
}

// state is the content of a histogram as it is encoded.
type state struct {
	// First is the index of the bucket that Counts[0] counts.
	First  int      `cbor:"first"`
	Counts []uint64 `cbor:"counts"`
	Count  int64    `cbor:"count"`
	Sum    int64    `cbor:"sum"`
	Min    int64    `cbor:"min"`
	Max    int64    `cbor:"max"`
}

var _ metrics.Sample = (*Histogram)(nil)

// bucketIndex returns the index of the bucket that holds the value.
func bucketIndex(v int64) int {
	u := uint64(max(v, 0))
	if u < subBuckets {
		return int(u)
	}
	shift := bits.Len64(u) - 1 - subBits
	return (shift+1)*subBuckets + int(u>>shift) - subBuckets
}

// upperBound returns the largest value of the bucket with index b.
func upperBound(b int) int64 {
	if b < subBuckets {
		return int64(b)
	}
	shift := b/subBuckets - 1
	low := uint64(subBuckets+b%subBuckets) << shift
	return int64(min(low+1<<shift-1, math.MaxInt64))
}

// Update adds the value.
func (h *Histogram) Update(v int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v = max(v, 0)
	s := &h.state
	s.add(bucketIndex(v), 1)
	if s.Count == 0 || v < s.Min {
		s.Min = v
	}
	s.Max = max(s.Max, v)
	s.Count++
	s.Sum += v
}

// add adds n to the bucket with index b.
func (s *state) add(b int, n uint64) {
	switch {
	case len(s.Counts) == 0:
		s.First = b
		s.Counts = make([]uint64, 1)
	case b < s.First:
		grown := make([]uint64, s.First-b+len(s.Counts))
		copy(grown[s.First-b:], s.Counts)
		s.First, s.Counts = b, grown
	case b >= s.First+len(s.Counts):
		grown := make([]uint64, b-s.First+1)
		copy(grown, s.Counts)
		s.Counts = grown
	}
	s.Counts[b-s.First] += n
}

// Merge adds the values of the other histogram.
func (h *Histogram) Merge(other *Histogram) {
	o := other.copyState()
	if o.Count == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &h.state
	for i, n := range o.Counts {
		if n > 0 {
			s.add(o.First+i, n)
		}
	}
	if s.Count == 0 || o.Min < s.Min {
		s.Min = o.Min
	}
	s.Max = max(s.Max, o.Max)
	s.Count += o.Count
	s.Sum += o.Sum
}

// copyState returns a copy of the content.
func (h *Histogram) copyState() state {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.state
	s.Counts = append([]uint64(nil), s.Counts...)
	return s
}

// MarshalCBOR encodes the content in CBOR.
func (h *Histogram) MarshalCBOR() ([]byte, error) {
	return cbor.Marshal(h.copyState())
}

// UnmarshalCBOR replaces the content by the decoded one.
func (h *Histogram) UnmarshalCBOR(b []byte) error {
	var s state
	if err := cbor.Unmarshal(b, &s); err != nil {
		return err
	}
	if err := s.validate(); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state = s
	return nil
}
