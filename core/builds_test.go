package core

import (
	"slices"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/discovery"
)

// TestBuildChanges guards against builds that endpoints have and that aren't allowed, and
// against forgetting one that an endpoint may still have.
func TestBuildChanges(t *testing.T) {
	const v1, v2 = boragewick.Build(11), boragewick.Build(22)
	reg := func(name string, b boragewick.Build, number uint64) boragewick.Registration {
		return boragewick.Registration{Name: name, Pool: "p", Build: b, Started: 1, Number: number}
	}
	type step struct {
		after         time.Duration
		register      []boragewick.Registration
		deregister    string
		added, remove []boragewick.Build
	}
	tests := map[string]struct {
		allowed []boragewick.Build
		steps   []step
	}{
		"a new one":        {[]boragewick.Build{v1}, []step{{0, []boragewick.Registration{reg("a", v1, 1), reg("b", v2, 1), reg("c", v2, 1)}, "", []boragewick.Build{v2}, nil}}},
		"unknown software": {nil, []step{{0, []boragewick.Registration{reg("a", 0, 1)}, "", nil, nil}}},
		"its last endpoint has left": {[]boragewick.Build{v1}, []step{
			{0, []boragewick.Registration{reg("a", v1, 1)}, "", nil, nil},
			{time.Second, nil, "a", nil, nil},
			{buildRetention - 2*time.Second, nil, "", nil, nil},
			{3 * time.Second, nil, "", nil, []boragewick.Build{v1}},
		}},
		"its last endpoint fell silent": {[]boragewick.Build{v1}, []step{
			{0, []boragewick.Registration{reg("a", v1, 1)}, "", nil, nil},
			{2 * time.Second, nil, "", nil, nil},
			{buildRetention + time.Minute, nil, "", nil, nil},
			{lostRetention, nil, "", nil, []boragewick.Build{v1}},
		}},
		"one has left, another fell silent": {[]boragewick.Build{v1}, []step{
			{0, []boragewick.Registration{reg("a", v1, 1), reg("b", v1, 1)}, "", nil, nil},
			{100 * time.Millisecond, nil, "a", nil, nil},
			{2 * time.Second, nil, "", nil, nil},
			{buildRetention + time.Minute, nil, "", nil, nil},
			{lostRetention, nil, "", nil, []boragewick.Build{v1}},
		}},
		"a new leader has seen none": {[]boragewick.Build{v1}, []step{
			{buildRetention + time.Minute, nil, "", nil, nil},
			{lostRetention, nil, "", nil, []boragewick.Build{v1}},
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			clock := boragewick.ClockFunc(func() time.Time { return now })
			d := &discovery.Directory{Clock: clock, Heartbeat: 300 * time.Millisecond}
			k := buildKeeper{
				Core: &Core{Directory: d, Clock: clock}, term: 1, leadingSince: now,
				seenAt: map[boragewick.Build]time.Time{}, left: map[boragewick.Build]bool{}, lost: map[string]boragewick.Build{},
			}
			for i, s := range test.steps {
				now = now.Add(s.after)
				for _, r := range s.register {
					d.Register(r)
				}
				if s.deregister != "" {
					d.Deregister(s.deregister)
				}
				d.Sweep()
				changes := k.changes(map[string][]boragewick.Build{"p": test.allowed}, now)["p"]
				if !slices.Equal(changes.Added, s.added) || !slices.Equal(changes.Removed, s.remove) {
					t.Errorf("step %d: added %v, removed %v", i, changes.Added, changes.Removed)
				}
			}
		})
	}
}
