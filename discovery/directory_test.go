package discovery

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// fakeClock is advanced by the test.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

func newDirectory() (*Directory, *fakeClock) {
	c := &fakeClock{time.Unix(1000, 0)}
	return &Directory{Clock: c, Heartbeat: time.Second}, c
}

func heartbeat(name, addr string, started int64, number uint64) boragewick.Registration {
	return boragewick.Registration{Name: name, Pool: "p", Addr: netip.MustParseAddrPort(addr), Started: started, Number: number}
}

// present returns the names of the endpoints that are not gone.
func present(d *Directory) []string {
	var names []string
	for _, r := range d.Endpoints() {
		names = append(names, r.Name)
	}
	slices.Sort(names)
	return names
}

func TestHeartbeats(t *testing.T) {
	a1 := "10.0.0.1:80"
	leaving := func(r boragewick.Registration) boragewick.Registration {
		r.Leaving = true
		return r
	}
	tests := map[string]struct {
		do   func(d *Directory)
		want []string
	}{
		"first heartbeat": {func(d *Directory) { d.Register(heartbeat("a", a1, 1, 1)) }, []string{"a"}},
		"late heartbeat of an endpoint that is leaving": {func(d *Directory) {
			d.Register(leaving(heartbeat("a", a1, 1, 5)))
			if d.Register(heartbeat("a", a1, 1, 4)) {
				t.Error("an older heartbeat is taken for a newer one")
			}
		}, []string{"a"}},
		"deregistered": {func(d *Directory) {
			d.Register(heartbeat("a", a1, 1, 1))
			d.Deregister("a")
		}, nil},
		"late heartbeat after deregistration": {func(d *Directory) {
			d.Register(heartbeat("a", a1, 1, 1))
			d.Deregister("a")
			d.Register(heartbeat("a", a1, 1, 9))
		}, nil},
		"restart under the same name": {func(d *Directory) {
			d.Register(heartbeat("a", a1, 1, 9))
			d.Deregister("a")
			d.Register(heartbeat("a", a1, 2, 1))
		}, []string{"a"}},
		"heartbeat of the run before a restart": {func(d *Directory) {
			d.Register(heartbeat("a", a1, 2, 1))
			d.Register(leaving(heartbeat("a", a1, 1, 50)))
		}, []string{"a"}},
		"address taken over by a newer endpoint": {func(d *Directory) {
			d.Register(heartbeat("a", a1, 1, 9))
			d.Register(heartbeat("b", a1, 2, 1))
		}, []string{"b"}},
		"delayed heartbeat of an endpoint whose address is taken": {func(d *Directory) {
			d.Register(heartbeat("b", a1, 2, 1))
			d.Register(heartbeat("a", a1, 1, 9))
		}, []string{"b"}},
		"deregistration of an unknown endpoint": {func(d *Directory) { d.Deregister("x") }, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d, _ := newDirectory()
			test.do(d)
			if got := present(d); !slices.Equal(got, test.want) {
				t.Errorf("present %v, want %v", got, test.want)
			}
		})
	}
}

func TestLeavingLastsForTheRun(t *testing.T) {
	d, _ := newDirectory()
	r := heartbeat("a", "10.0.0.1:80", 1, 1)
	r.Leaving = true
	d.Register(r)
	d.Register(heartbeat("a", "10.0.0.1:80", 1, 2))
	if e := d.Endpoints(); !e[0].Leaving {
		t.Error("a leaving endpoint is no longer leaving within the same run")
	}
}

func TestSilentAfterMissedHeartbeats(t *testing.T) {
	d, c := newDirectory()
	d.Register(heartbeat("a", "10.0.0.1:80", 1, 1))
	c.now = c.now.Add(2 * time.Second)
	d.Sweep()
	if d.Endpoints()[0].Silent {
		t.Error("silent after two missed heartbeats")
	}
	c.now = c.now.Add(1100 * time.Millisecond)
	d.Sweep()
	if !d.Endpoints()[0].Silent {
		t.Error("not silent after three missed heartbeats")
	}
	d.Register(heartbeat("a", "10.0.0.1:80", 1, 2))
	if d.Endpoints()[0].Silent {
		t.Error("silent after a heartbeat")
	}
	c.now = c.now.Add(time.Minute)
	d.Sweep()
	d.Sweep()
	if n := len(d.Endpoints()); n != 0 {
		t.Errorf("%d endpoints remembered after a minute", n)
	}
}

func TestUnchangedHeartbeatIsNoChange(t *testing.T) {
	d, _ := newDirectory()
	d.Register(heartbeat("a", "10.0.0.1:80", 1, 1))
	u, changed := d.Changes(0)
	if len(u.Registrations) != 1 {
		t.Fatalf("%d changes", len(u.Registrations))
	}
	d.Register(heartbeat("a", "10.0.0.1:80", 1, 2))
	if next, _ := d.Changes(u.Revision); len(next.Registrations) != 0 {
		t.Error("an unchanged heartbeat is reported as a change")
	}
	select {
	case <-changed:
		t.Error("an unchanged heartbeat wakes watchers")
	default:
	}
	d.Deregister("a")
	<-changed
	if next, _ := d.Changes(u.Revision); len(next.Registrations) != 1 || !next.Registrations[0].Gone {
		t.Errorf("deregistration is not reported: %+v", next)
	}
}

// TestHeartbeatsAreForwardedOnce guards against replicas forwarding heartbeats to
// each other endlessly: each one is forwarded once, by the replica that the endpoint
// sent it to.
func TestHeartbeatsAreForwardedOnce(t *testing.T) {
	a, _ := newDirectory()
	b, _ := newDirectory()
	a.Register(heartbeat("e", "10.0.0.1:80", 1, 1))
	for _, r := range a.Refreshes(0).Registrations {
		b.Merge(r)
	}
	at := b.Refreshes(0).Refreshed
	a.Register(heartbeat("e", "10.0.0.1:80", 1, 2))
	for _, r := range a.Refreshes(0).Registrations {
		b.Merge(r)
	}
	if n := len(b.Refreshes(at).Registrations); n != 0 {
		t.Errorf("%d heartbeats are forwarded a second time", n)
	}
	if b.Endpoints()[0].Number != 2 {
		t.Error("the heartbeat did not arrive")
	}
	a.Deregister("e")
	for _, r := range a.Refreshes(0).Registrations {
		b.Merge(r)
	}
	if n := len(b.Refreshes(at).Registrations); n != 1 {
		t.Errorf("%d changes are forwarded, want 1", n)
	}
}

// TestDepartureAtLaggingReplica guards against routers that go on using an endpoint
// which has deregistered at a replica that had missed its newest heartbeats.
func TestDepartureAtLaggingReplica(t *testing.T) {
	leaving := heartbeat("e", "10.0.0.1:80", 1, 3)
	leaving.Leaving = true
	tests := map[string]struct {
		depart        func(lagging *Directory)
		leaving, gone bool
	}{
		"deregistered":           {func(d *Directory) { d.Deregister("e") }, false, true},
		"late drain":             {func(d *Directory) { d.Register(leaving) }, true, false},
		"late drain and then it": {func(d *Directory) { d.Register(leaving); d.Deregister("e") }, true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			lagging, _ := newDirectory()
			current, _ := newDirectory()
			for _, d := range []*Directory{lagging, current} {
				d.Register(heartbeat("e", "10.0.0.1:80", 1, 2))
			}
			current.Register(heartbeat("e", "10.0.0.1:80", 1, 9))
			watched, _ := current.Changes(0)
			test.depart(lagging)
			exchange(lagging, current)
			for name, d := range map[string]*Directory{"lagging": lagging, "current": current} {
				u, _ := d.Changes(0)
				if r := u.Registrations[0]; r.Leaving != test.leaving || r.Gone != test.gone {
					t.Errorf("%s replica: leaving %t, gone %t", name, r.Leaving, r.Gone)
				}
			}
			if u, _ := current.Changes(watched.Revision); len(u.Registrations) != 1 {
				t.Errorf("%d changes for the watchers of the current replica, want 1", len(u.Registrations))
			}
		})
	}
}

// exchange passes on all heartbeats and changes between two replicas.
func exchange(a, b *Directory) {
	fromA, fromB := a.Refreshes(0), b.Refreshes(0)
	for _, r := range fromA.Registrations {
		b.Merge(r)
	}
	for _, r := range fromB.Registrations {
		a.Merge(r)
	}
}

// TestOddNamesAreDropped guards against names that replicas of an earlier version pass on.
func TestOddNamesAreDropped(t *testing.T) {
	d, _ := newDirectory()
	for _, name := range []string{"", "i-\xff", "i-1\n", "a/b", "é"} {
		if d.Merge(heartbeat(name, "10.0.0.1:80", 1, 1)) || len(present(d)) > 0 {
			t.Errorf("%q is taken", name)
		}
	}
}
