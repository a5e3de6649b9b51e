package histogram

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/boragewick/boragewick"
)

func TestMergedPercentiles(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	tests := map[string]func() int64{
		"uniform":   func() int64 { return r.Int64N(1_000_000) },
		"long tail": func() int64 { return int64(math.Exp(r.NormFloat64()*2 + 10)) },
		"small":     func() int64 { return r.Int64N(8) },
		"constant":  func() int64 { return 890_000 },
		"huge":      func() int64 { return math.MaxInt64 - r.Int64N(10) },
	}
	for name, draw := range tests {
		t.Run(name, func(t *testing.T) {
			var all []int64
			var sum Histogram
			for range 5 {
				var part Histogram
				for range 1000 {
					v := draw()
					part.Update(v)
					all = append(all, v)
				}
				sum.Merge(&part)
			}
			slices.Sort(all)
			for _, p := range []float64{0, 0.5, 0.95, 0.99, 1} {
				want := float64(all[max(0, int(math.Ceil(p*float64(len(all))))-1)])
				if got := sum.Percentile(p); got < want || got > want*1.125 {
					t.Errorf("percentile %g: %g, want at least %g and at most an eighth more", p, got, want)
				}
			}
			if sum.Count() != int64(len(all)) || sum.Min() != all[0] || sum.Max() != all[len(all)-1] {
				t.Errorf("%d values from %d to %d", sum.Count(), sum.Min(), sum.Max())
			}
			if sum.Size() > 512 {
				t.Errorf("%d buckets", sum.Size())
			}
		})
	}
}

func TestCBOR(t *testing.T) {
	var h, decoded Histogram
	for v := range int64(1000) {
		h.Update(v * v)
	}
	b, err := cbor.Marshal(&h)
	if err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(b, &decoded); err != nil {
		t.Fatal(err)
	}
	if decoded.Count() != h.Count() || decoded.Sum() != h.Sum() || decoded.Percentile(0.9) != h.Percentile(0.9) {
		t.Errorf("%d values, sum %d", decoded.Count(), decoded.Sum())
	}
	tests := map[string]state{
		"negative bucket":  {First: -1, Counts: []uint64{1}, Count: 1},
		"too many buckets": {Counts: make([]uint64, 600)},
		"wrong count":      {Counts: []uint64{1}, Count: 2},
	}
	for name, s := range tests {
		t.Run(name, func(t *testing.T) {
			b, err := cbor.Marshal(s)
			if err != nil {
				t.Fatal(err)
			}
			if err := new(Histogram).UnmarshalCBOR(b); !errors.Is(err, boragewick.ErrCorrupt) {
				t.Errorf("error %v", err)
			}
		})
	}
}
