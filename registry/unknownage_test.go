package registry

import (
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// TestUnknownAges guards against a replica that reads a version again from its log after a
// restart and tells routers that it is new.
func TestUnknownAges(t *testing.T) {
	now := time.Unix(1000, 0)
	named := boragewick.NamedWeights{Model: "m", Version: 2}
	naming := func(ago time.Duration, unknown bool) []boragewick.WeightsNaming {
		return []boragewick.WeightsNaming{{NamedWeights: named, At: now.Add(-ago), AgeUnknown: unknown}}
	}
	read := boragewick.RegistryCommand{Weights: &named, NamedAt: boragewick.BootInstant{Boot: "another", At: now.Add(-time.Minute)}}
	tests := map[string]struct {
		running time.Duration
		do      func(r *Registry)
		unknown bool
		age     time.Duration
	}{
		"read from the log":       {time.Second, func(r *Registry) { apply(t, r, read) }, true, 0},
		"named while it runs":     {time.Minute, func(r *Registry) { apply(t, r, read) }, false, 0},
		"another replica knows":   {time.Second, func(r *Registry) { apply(t, r, read); r.MergeNamings(naming(9*time.Second, false), now) }, false, 9 * time.Second},
		"another doesn't know":    {time.Second, func(r *Registry) { apply(t, r, read); r.MergeNamings(naming(time.Second, true), now) }, true, time.Second},
		"heard before it is read": {time.Second, func(r *Registry) { r.MergeNamings(naming(time.Second, true), now); apply(t, r, read) }, true, time.Second},
		"a router knows":          {time.Second, func(r *Registry) { apply(t, r, read); r.MergeAges(naming(9*time.Second, false), now) }, false, 9 * time.Second},
		"a router knew before":    {time.Second, func(r *Registry) { r.MergeAges(naming(9*time.Second, false), now); apply(t, r, read) }, false, 9 * time.Second},
		"a router doesn't know":   {time.Second, func(r *Registry) { r.MergeAges(naming(time.Second, true), now); apply(t, r, read) }, true, 0},
		"it proposed it":          {time.Second, func(r *Registry) { r.Boot = "another"; apply(t, r, read) }, false, time.Minute},
		"known and then heard again": {time.Second, func(r *Registry) {
			r.MergeNamings(naming(0, false), now)
			r.MergeNamings(naming(time.Second, true), now)
		}, false, time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			later := now
			r := &Registry{Clock: boragewick.ClockFunc(func() time.Time { return later }), StartedAt: now.Add(-test.running)}
			test.do(r)
			list, _ := r.Namings()
			if len(list) != 1 || list[0].AgeUnknown != test.unknown || now.Sub(list[0].At) != test.age {
				t.Fatalf("namings %v", list)
			}
			later = now.Add(ageWait)
			r.SettleAges()
			if list, _ = r.Namings(); list[0].AgeUnknown {
				t.Error("the age stays unknown though nobody tells it")
			}
		})
	}
}
