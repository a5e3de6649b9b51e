package mirror

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
)

// fakeClock returns the time that the test sets.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// versionDecoder decodes documents that consist of a version number.
type versionDecoder struct{}

func (versionDecoder) DecodeTable(b []byte) (*boragewick.RoutingTable, error) {
	t := &boragewick.RoutingTable{}
	if _, err := fmt.Sscan(string(b), &t.Version); err != nil {
		return nil, errors.Mark(err, boragewick.ErrBadTable)
	}
	return t, nil
}

// endpointRecorder keeps the current endpoints.
type endpointRecorder struct {
	endpoints map[string]boragewick.Endpoint
}

func (o *endpointRecorder) Update(changes ...boragewick.EndpointChange) {
	for _, c := range changes {
		if c.Removed {
			delete(o.endpoints, c.Endpoint.Name)
		} else {
			o.endpoints[c.Endpoint.Name] = c.Endpoint
		}
	}
}

var (
	r1 = netip.MustParseAddrPort("10.0.0.1:1")
	r2 = netip.MustParseAddrPort("10.0.0.2:1")
)

func newMirror() (*Mirror, *endpointRecorder, *fakeClock) {
	o := &endpointRecorder{endpoints: map[string]boragewick.Endpoint{}}
	c := &fakeClock{time.Unix(1000, 0)}
	m := &Mirror{Decoder: versionDecoder{}, Clock: c, Logger: log.NewNopLogger(), Observer: o}
	m.endpoints = map[string]*endpointEntry{}
	m.following = map[netip.AddrPort]bool{}
	m.failedAt = map[netip.AddrPort]time.Time{}
	m.reportedSilent = map[netip.AddrPort]map[string]bool{}
	return m, o, c
}

func publicationUpdate(version uint64) *boragewick.WatchUpdate {
	return &boragewick.WatchUpdate{Publication: &boragewick.Publication{Version: version, Document: []byte(fmt.Sprint(version))}}
}

func update(list ...boragewick.Registration) *boragewick.WatchUpdate {
	return &boragewick.WatchUpdate{Registrations: list}
}

func reg(name string, number uint64) boragewick.Registration {
	return boragewick.Registration{Name: name, Pool: "p", Addr: r1, Started: 1, Number: number, Weights: map[string]uint64{"m": 1}}
}

func TestOlderTableIsIgnored(t *testing.T) {
	m, _, _ := newMirror()
	if m.View() != nil {
		t.Fatal("a view without a table")
	}
	for _, version := range []uint64{3, 7, 5, 7} {
		m.merge(r1, publicationUpdate(version))
	}
	if v := m.View().Table.Version; v != 7 {
		t.Errorf("version %d in force", v)
	}
	m.merge(r2, &boragewick.WatchUpdate{Publication: &boragewick.Publication{Version: 9, Document: []byte("?")}})
	if v := m.View().Table.Version; v != 7 {
		t.Errorf("version %d in force after one that cannot be decoded", v)
	}
}

func TestEndpoints(t *testing.T) {
	changed := func(r boragewick.Registration, edit func(*boragewick.Registration)) boragewick.Registration {
		edit(&r)
		return r
	}
	leave := func(r *boragewick.Registration) { r.Leaving = true }
	gone := func(r *boragewick.Registration) { r.Gone = true }
	silent := func(r *boragewick.Registration) { r.Silent = true }
	tests := map[string]struct {
		apply   func(m *Mirror)
		present bool
		leaving bool
	}{
		"registered":                           {func(m *Mirror) { m.merge(r1, update(reg("a", 1))) }, true, false},
		"leaving":                              {func(m *Mirror) { m.merge(r1, update(changed(reg("a", 2), leave))) }, true, true},
		"older registration after leaving":     {func(m *Mirror) { m.merge(r1, update(changed(reg("a", 2), leave))); m.merge(r2, update(reg("a", 1))) }, true, true},
		"newer registration of the same run":   {func(m *Mirror) { m.merge(r1, update(changed(reg("a", 2), leave))); m.merge(r2, update(reg("a", 3))) }, true, true},
		"gone":                                 {func(m *Mirror) { m.merge(r1, update(changed(reg("a", 2), gone))) }, false, false},
		"gone at a replica that lags":          {func(m *Mirror) { m.merge(r1, update(reg("a", 3))); m.merge(r2, update(changed(reg("a", 2), gone))) }, false, false},
		"leaving at a replica that lags":       {func(m *Mirror) { m.merge(r1, update(reg("a", 3))); m.merge(r2, update(changed(reg("a", 2), leave))) }, true, true},
		"heartbeat of the same run after gone": {func(m *Mirror) { m.merge(r1, update(changed(reg("a", 2), gone))); m.merge(r2, update(reg("a", 3))) }, false, false},
		"gone, but in the run before": {func(m *Mirror) {
			m.merge(r1, update(changed(reg("a", 2), func(r *boragewick.Registration) { r.Started = 2 })))
			m.merge(r2, update(changed(reg("a", 3), gone)))
		}, true, false},
		"next run after gone": {func(m *Mirror) {
			m.merge(r1, update(changed(reg("a", 2), gone)))
			m.merge(r2, update(changed(reg("a", 1), func(r *boragewick.Registration) { r.Started = 2 })))
		}, true, false},
		"departed before the router knows it": {func(m *Mirror) {
			m.merge(r1, &boragewick.WatchUpdate{Departures: []boragewick.EndpointDeparture{{Endpoint: "a", Started: 1, Number: 1}}})
			m.merge(r2, update(reg("a", 1)))
		}, true, true},
		"the run before has departed": {func(m *Mirror) {
			m.merge(r1, &boragewick.WatchUpdate{Departures: []boragewick.EndpointDeparture{{Endpoint: "a", Started: 0, Number: 1}}})
			m.merge(r2, update(reg("a", 1)))
		}, true, false},
		"silent, the others in the pool are not": {func(m *Mirror) { m.merge(r1, update(changed(reg("a", 2), silent), reg("b", 1), reg("c", 1))) }, true, true},
		"reported silent by one of two replicas": {func(m *Mirror) {
			m.merge(r1, update(changed(reg("a", 2), silent), reg("b", 1), reg("c", 1)))
			m.merge(r2, update(reg("a", 2)))
		}, true, false},
		"all silent, heartbeats lost": {func(m *Mirror) { m.merge(r1, update(changed(reg("a", 2), silent), changed(reg("b", 1), silent))) }, true, false},
		"about to load":               {func(m *Mirror) { m.merge(r1, update(reg("a", 1))); m.merge(r1, loadDirective(1, 1, "a")) }, true, true},
		"loaded": {func(m *Mirror) {
			m.merge(r1, update(reg("a", 1)))
			m.merge(r1, loadDirective(1, 1, "a"))
			m.merge(r1, loadDirective(1, 2))
		}, true, false},
		"directive of an old leader": {func(m *Mirror) {
			m.merge(r1, update(reg("a", 1)))
			m.merge(r1, loadDirective(2, 1))
			m.merge(r2, loadDirective(1, 9, "a"))
		}, true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m, o, _ := newMirror()
			m.merge(r1, publicationUpdate(1))
			test.apply(m)
			e, ok := o.endpoints["a"]
			if ok != test.present || e.Leaving != test.leaving {
				t.Errorf("present %t, leaving %t", ok, e.Leaving)
			}
		})
	}
}

// loadDirective returns a directive by which the endpoints load other weights.
func loadDirective(term, number uint64, names ...string) *boragewick.WatchUpdate {
	return &boragewick.WatchUpdate{Directive: &boragewick.Directive{Term: term, Number: number, Loading: names}}
}

// TestZoneOfEndpoint guards against endpoints whose zone doesn't reach the selectors, and
// against one that keeps the zone of its earlier run.
func TestZoneOfEndpoint(t *testing.T) {
	m, o, _ := newMirror()
	r := reg("a", 1)
	r.Domain = "z1"
	m.merge(r1, update(r))
	if zone := o.endpoints["a"].FailureDomain; zone != "z1" {
		t.Errorf("zone %q", zone)
	}
	r.Domain, r.Started = "z2", 2
	m.merge(r1, update(r))
	if zone := o.endpoints["a"].FailureDomain; zone != "z2" {
		t.Errorf("zone %q after it has moved", zone)
	}
}

// TestEarlierRun guards against an endpoint that is taken for an earlier run of it again, as a
// heartbeat of that run is late or a replica lags.
func TestEarlierRun(t *testing.T) {
	next, gone := reg("a", 1), reg("a", 2)
	next.Started, gone.Started, gone.Gone = 2, 2, true
	tests := map[string]struct {
		updates []*boragewick.WatchUpdate
		want    boragewick.Incarnation
	}{
		"the run before":                 {[]*boragewick.WatchUpdate{update(reg("a", 7)), update(next), update(reg("a", 8))}, "2"},
		"the run before, not known":      {[]*boragewick.WatchUpdate{update(next), update(reg("a", 8))}, "2"},
		"the run before, once it's gone": {[]*boragewick.WatchUpdate{update(next), update(gone), update(reg("a", 8))}, ""},
		"both at once":                   {[]*boragewick.WatchUpdate{update(next, reg("a", 8))}, "2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m, o, _ := newMirror()
			for _, u := range test.updates {
				m.merge(r2, u)
			}
			if got := o.endpoints["a"].Incarnation; got != test.want {
				t.Errorf("run %q, want %q", got, test.want)
			}
		})
	}
}

func TestLoadedVersionBeforeHeartbeat(t *testing.T) {
	m, o, _ := newMirror()
	m.merge(r1, update(reg("a", 1)))
	m.merge(r1, &boragewick.WatchUpdate{Directive: &boragewick.Directive{Term: 1, Number: 1, Loaded: map[string]map[string]uint64{"a": {"m": 2}}}})
	if w := o.endpoints["a"].Models[0].Weights; w != "2" {
		t.Errorf("weights %s before the next heartbeat", w)
	}
}

// newestBefore returns the newest version of model m that may have been named before.
func newestBefore(v *View, before time.Time) uint64 {
	_, possible := v.NewestWeightsBefore("m", before)
	return possible
}

// TestVersionOfUnknownAge guards against a version that counts as certainly named some time ago
// although no process knows when it was named.
func TestVersionOfUnknownAge(t *testing.T) {
	m, _, c := newMirror()
	m.merge(r1, publicationUpdate(1))
	named := func(version uint64, unknown bool) {
		n := boragewick.WeightsNaming{NamedWeights: boragewick.NamedWeights{Model: "m", Version: version}, At: c.now, AgeUnknown: unknown}
		m.merge(r1, &boragewick.WatchUpdate{Now: c.now, Namings: []boragewick.WeightsNaming{n}})
	}
	named(2, false)
	c.now = c.now.Add(time.Minute)
	named(3, true)
	if certain, possible := m.View().NewestWeightsBefore("m", c.now.Add(-time.Second)); certain != 2 || possible != 3 {
		t.Errorf("certain %d, possible %d", certain, possible)
	}
	named(3, false)
	if certain, possible := m.View().NewestWeightsBefore("m", c.now.Add(time.Second)); certain != 3 || possible != 3 {
		t.Errorf("once its age is known: certain %d, possible %d", certain, possible)
	}
}

func TestNewestWeightsBefore(t *testing.T) {
	m, _, c := newMirror()
	m.merge(r1, publicationUpdate(1))
	firstNamedAt := c.now
	for version := uint64(2); version <= 4; version++ {
		m.merge(r1, &boragewick.WatchUpdate{Weights: map[string]uint64{"m": version}})
		c.now = c.now.Add(4 * time.Second)
	}
	tests := map[string]struct {
		before time.Time
		want   uint64
	}{
		"before all":       {firstNamedAt, 0},
		"after the first":  {firstNamedAt.Add(time.Second), 2},
		"after the second": {firstNamedAt.Add(5 * time.Second), 3},
		"now":              {c.now, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := newestBefore(m.View(), test.before); got != test.want {
				t.Errorf("version %d, want %d", got, test.want)
			}
		})
	}
}

// TestNoReplicaIsLogged guards against a router that gets no updates and doesn't say so, as
// one whose streams all end before their first update.
func TestNoReplicaIsLogged(t *testing.T) {
	now := time.Unix(1000, 0)
	m := &Mirror{Clock: boragewick.ClockFunc(func() time.Time { return now }), reportedSilent: map[netip.AddrPort]map[string]bool{}}
	steps := []struct {
		after    time.Duration
		followed bool
		logged   bool
	}{
		{0, false, true},
		{200 * time.Millisecond, false, false},
		{failureLogInterval, false, true},
		{failureLogInterval, true, false},
		{time.Second, false, true},
	}
	for i, step := range steps {
		now = now.Add(step.after)
		clear(m.reportedSilent)
		if step.followed {
			m.reportedSilent[netip.MustParseAddrPort("10.0.0.1:1")] = map[string]bool{}
		}
		if logged := m.noteFailure(); logged != step.logged {
			t.Errorf("step %d: logged %t", i, logged)
		}
	}
}
