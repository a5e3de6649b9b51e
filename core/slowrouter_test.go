package core

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// applyTime and drainTime are the least that the platform allows a change and a departure to
// take to all routers.
const (
	applyTime = 2 * time.Second
	drainTime = 2 * time.Second
)

// TestChangesReachRoutersWithSlowLinks guards against a change of a large configuration that
// reaches a router late, and against departures that wait behind it: three replicas sent the
// whole of it at once over the router's link, and streams that took long counted as dead and
// began anew. Requests went by the older version and to endpoints that had left.
func TestChangesReachRoutersWithSlowLinks(t *testing.T) {
	tests := map[string]struct {
		bitsPerSecond float64
		routes        int
		interval      time.Duration
	}{
		"slowest link, 1,400 routes":                    {7.5e6, 1400, time.Second},
		"slowest link, 4,000 routes":                    {7.5e6, 4000, 4 * time.Second},
		"slowest link half used, 1,400 routes":          {3.75e6, 1400, time.Second},
		"share of a replica's link, 1,000 machines":     {3 * 100e6 / 400, 350, 3 * time.Second},
		"share of a replica's link, changes in a storm": {3 * 100e6 / 115, 350, 300 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newChangeFleet(t, test.bitsPerSecond)
				for i := range 64 {
					f.register(i, false)
				}
				f.publish(1, 45)
				time.Sleep(5 * time.Second)
				var delays []time.Duration
				for i := range 8 {
					begun := time.Now()
					inForce, left := f.change(uint64(2+i), test.routes, i, test.interval/4)
					if inForce > applyTime {
						t.Errorf("version %d in force after %v", 2+i, inForce)
					}
					if left > drainTime {
						t.Errorf("departure %d known after %v", i, left)
					}
					delays = append(delays, inForce)
					time.Sleep(time.Until(begun.Add(test.interval)))
				}
				t.Logf("in force after %v to %v, %d bytes over the link", slices.Min(delays), slices.Max(delays), f.link.bytes.Load())
			})
		})
	}
}

// TestStormOfChanges guards against a router that never completes a configuration, as a newer one
// is published while it fetches.
func TestStormOfChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newChangeFleet(t, 3*100e6/400)
		f.publish(1, 45)
		time.Sleep(5 * time.Second)
		const changes = 200
		var published []time.Time
		for i := range changes {
			f.publish(uint64(2+i), 350)
			published = append(published, time.Now())
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(applyTime)
		for i, at := range published {
			if in := f.inForceAt(uint64(2 + i)); in.IsZero() || in.Sub(at) > applyTime {
				t.Errorf("version %d, published %v, in force %v", 2+i, at, in)
			}
		}
	})
}

// TestReplicaStallsInDocument guards against a router that waits for a document from a replica
// that has fallen silent, though others have it.
func TestReplicaStallsInDocument(t *testing.T) {
	for i := range 3 {
		t.Run(fmt.Sprint("replica ", i), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newChangeFleet(t, 7.5e6)
				f.register(1, false)
				f.publish(1, 45)
				time.Sleep(5 * time.Second)
				// The fetch has begun by then, and its first part is on its way.
				time.AfterFunc(30*time.Millisecond, func() { f.stalled[i].Store(true) })
				defer f.stalled[i].Store(false)
				if inForce, left := f.change(2, 1400, 1, time.Millisecond); inForce > applyTime || left > drainTime {
					t.Errorf("in force after %v, departure known after %v", inForce, left)
				}
			})
		})
	}
}

// TestStartedRouterGetsTableBeforeDepartures guards against a router that starts and serves late, as
// its configuration waits behind all departures of the log.
func TestStartedRouterGetsTableBeforeDepartures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newReplicas(t, 3*100e6/400)
		f.publish(1, 350)
		f.depart(8000, 0)
		started := time.Now()
		f.startRouter()
		f.register(0, false)
		time.Sleep(30 * time.Second)
		if in := f.inForceAt(1).Sub(started); f.inForceAt(1).IsZero() || in > applyTime {
			t.Errorf("in force after %v", in)
		} else {
			t.Logf("in force after %v", in)
		}
		f.register(0, true)
		time.Sleep(drainTime)
		if !f.hasLeft("e0") {
			t.Errorf("departure not known after %v", drainTime)
		}
	})
}

// TestReconnectedRouterGetsNewDepartures guards against a router that gets all departures of the
// log whenever it connects: they take the link from what is new, and the streams count as silent
// before their first message is complete.
func TestReconnectedRouterGetsNewDepartures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newChangeFleet(t, 3*100e6/400)
		f.register(0, false)
		f.publish(1, 45)
		time.Sleep(5 * time.Second)
		f.depart(8000, 10*time.Millisecond)
		time.Sleep(10 * time.Second)
		before := f.link.bytes.Load()
		for i := range f.stalled { // all streams are given up and opened again
			f.stalled[i].Store(true)
		}
		time.Sleep(4 * time.Second)
		for i := range f.stalled {
			f.stalled[i].Store(false)
		}
		time.Sleep(2 * time.Second)
		if inForce, left := f.change(2, 45, 0, time.Millisecond); inForce > applyTime || left > drainTime {
			t.Errorf("in force after %v, departure known after %v", inForce, left)
		}
		t.Logf("%d bytes over the link", f.link.bytes.Load()-before)
	})
}
