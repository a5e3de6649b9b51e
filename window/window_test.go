package window

import (
	"math"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)

func TestWindowsDropOldEvents(t *testing.T) {
	tests := map[string]struct {
		after       time.Duration
		short, long [len(ShortWindows)]uint64
	}{
		"at once":        {0, [4]uint64{5, 5, 5, 5}, [4]uint64{5, 5, 5, 5}},
		"9 minutes":      {9 * time.Minute, [4]uint64{5, 5, 5, 5}, [4]uint64{5, 5, 5, 5}},
		"10 minutes":     {10 * time.Minute, [4]uint64{0, 5, 5, 5}, [4]uint64{5, 5, 5, 5}},
		"1 hour":         {time.Hour, [4]uint64{0, 0, 5, 5}, [4]uint64{0, 5, 5, 5}},
		"6 hours":        {6 * time.Hour, [4]uint64{0, 0, 0, 5}, [4]uint64{0, 0, 5, 5}},
		"a day":          {24 * time.Hour, [4]uint64{}, [4]uint64{0, 0, 0, 5}},
		"3 days":         {72 * time.Hour, [4]uint64{}, [4]uint64{}},
		"the day before": {-24 * time.Hour, [4]uint64{}, [4]uint64{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var c, sum Counts
			c.Add(start, 10, 5)
			sum.Merge(&c)
			for i := range ShortWindows {
				_, short := sum.Short(i, start.Add(tt.after))
				_, long := sum.Long(i, start.Add(tt.after))
				if short != tt.short[i] || long != tt.long[i] {
					t.Errorf("pair %d: %d and %d, want %d and %d", i, short, long, tt.short[i], tt.long[i])
				}
			}
		})
	}
}

func TestMergeEqualsDirectCounting(t *testing.T) {
	var direct, a, b, sum Counts
	for i := range 500 {
		at := start.Add(time.Duration(i) * 17 * time.Minute)
		direct.Add(at, 3, uint64(i%2))
		part := &a
		if i%3 == 0 {
			part = &b
		}
		part.Add(at, 3, uint64(i%2))
	}
	sum.Merge(&b)
	sum.Merge(&a)
	if sum != direct {
		t.Errorf("merged %+v, counted directly %+v", sum, direct)
	}
}

func TestCountersSaturate(t *testing.T) {
	var c Counts
	c.Add(start, math.MaxUint32, 1)
	c.Add(start, 10, 1)
	if total, bad := c.Short(0, start); total != math.MaxUint32 || bad != 2 {
		t.Errorf("%d and %d", total, bad)
	}
}
