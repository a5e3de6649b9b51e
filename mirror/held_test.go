package mirror

import (
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// TestHeldEndpoints guards against a departure that is charged to an endpoint's next run, of which a
// router has learned since.
func TestHeldEndpoints(t *testing.T) {
	nextRun := reg("a", 1)
	nextRun.Started = 2
	tests := map[string]struct {
		before, after []boragewick.Registration
		// age is how long ago the endpoint deregistered, by the replica's clock.
		age  time.Duration
		held int64
	}{
		"known":                  {[]boragewick.Registration{reg("a", 1)}, nil, 0, 1},
		"known, told late":       {[]boragewick.Registration{reg("a", 1)}, nil, 5 * time.Second, 1},
		"further heartbeats":     {[]boragewick.Registration{reg("a", 1)}, []boragewick.Registration{reg("a", 2)}, 0, 1},
		"not known":              {[]boragewick.Registration{reg("b", 1)}, nil, 0, 0},
		"known since":            {nil, []boragewick.Registration{reg("a", 1)}, 5 * time.Second, 0},
		"next run since":         {[]boragewick.Registration{reg("a", 1)}, []boragewick.Registration{nextRun}, 5 * time.Second, 0},
		"next run known by then": {[]boragewick.Registration{reg("a", 1), nextRun}, nil, 0, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m, _, clock := newMirror()
			m.merge(r1, update(test.before...))
			clock.now = clock.now.Add(10 * time.Second)
			m.merge(r1, update(test.after...))
			now := time.Unix(5000, 0)
			clock.now = clock.now.Add(time.Second)
			held := m.held(&boragewick.WatchUpdate{Now: now, Missing: []boragewick.MissingEndpoint{{Endpoint: "a", At: now.Add(-test.age)}}})
			var started int64
			for _, r := range held.Registrations {
				started = r.Started
			}
			if started != test.held || len(held.Registrations) > 1 {
				t.Errorf("held %v, want the run that started at %d", held.Registrations, test.held)
			}
		})
	}
}
