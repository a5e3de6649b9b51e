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

// clock is moved by the test.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// decoder reads documents that are a version.
type decoder struct{}

func (decoder) DecodeTable(b []byte) (*boragewick.RoutingTable, error) {
	t := &boragewick.RoutingTable{}
	if _, err := fmt.Sscan(string(b), &t.Version); err != nil {
		return nil, errors.Mark(err, boragewick.ErrBadTable)
	}
	return t, nil
}

// observer keeps what it is told.
type observer struct {
	endpoints map[string]boragewick.Endpoint
}

func (o *observer) Update(changes ...boragewick.EndpointChange) {
	for _, c := range changes {
		if c.Removed {
			delete(o.endpoints, c.Endpoint.Name)
		} else {
			o.endpoints[c.Endpoint.Name] = c.Endpoint
		}
	}
}

var (
	one = netip.MustParseAddrPort("10.0.0.1:1")
	two = netip.MustParseAddrPort("10.0.0.2:1")
)

func newMirror() (*Mirror, *observer, *clock) {
	o := &observer{endpoints: map[string]boragewick.Endpoint{}}
	c := &clock{time.Unix(1000, 0)}
	m := &Mirror{Decoder: decoder{}, Clock: c, Logger: log.NewNopLogger(), Observer: o}
	m.endpoints = map[string]*known{}
	m.active = map[netip.AddrPort]bool{}
	m.failedAt = map[netip.AddrPort]time.Time{}
	m.silent = map[netip.AddrPort]map[string]bool{}
	return m, o, c
}

func publication(version uint64) *boragewick.WatchUpdate {
	return &boragewick.WatchUpdate{Publication: &boragewick.Publication{Version: version, Document: []byte(fmt.Sprint(version))}}
}

func beats(list ...boragewick.Registration) *boragewick.WatchUpdate {
	return &boragewick.WatchUpdate{Registrations: list}
}

func beat(name string, number uint64) boragewick.Registration {
	return boragewick.Registration{Name: name, Pool: "p", Addr: one, Started: 1, Number: number, Weights: map[string]uint64{"m": 1}}
}

func TestTablesNeverGoBack(t *testing.T) {
	m, _, _ := newMirror()
	if m.View() != nil {
		t.Fatal("a view without a table")
	}
	for _, version := range []uint64{3, 7, 5, 7} {
		m.merge(one, publication(version))
	}
	if v := m.View().Table.Version; v != 7 {
		t.Errorf("version %d in force", v)
	}
	m.merge(two, &boragewick.WatchUpdate{Publication: &boragewick.Publication{Version: 9, Document: []byte("?")}})
	if v := m.View().Table.Version; v != 7 {
		t.Errorf("version %d in force after one that can't be read", v)
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
		do      func(m *Mirror)
		present bool
		leaving bool
	}{
		"registered":                 {func(m *Mirror) { m.merge(one, beats(beat("a", 1))) }, true, false},
		"leaving":                    {func(m *Mirror) { m.merge(one, beats(changed(beat("a", 2), leave))) }, true, true},
		"older news after it left":   {func(m *Mirror) { m.merge(one, beats(changed(beat("a", 2), leave))); m.merge(two, beats(beat("a", 1))) }, true, true},
		"newer news within one run":  {func(m *Mirror) { m.merge(one, beats(changed(beat("a", 2), leave))); m.merge(two, beats(beat("a", 3))) }, true, true},
		"gone":                       {func(m *Mirror) { m.merge(one, beats(changed(beat("a", 2), gone))) }, false, false},
		"silent, the others are not": {func(m *Mirror) { m.merge(one, beats(changed(beat("a", 2), silent), beat("b", 1), beat("c", 1))) }, true, true},
		"silent at one of two": {func(m *Mirror) {
			m.merge(one, beats(changed(beat("a", 2), silent), beat("b", 1), beat("c", 1)))
			m.merge(two, beats(beat("a", 2)))
		}, true, false},
		"all silent, so it's the net": {func(m *Mirror) { m.merge(one, beats(changed(beat("a", 2), silent), changed(beat("b", 1), silent))) }, true, false},
		"about to load":               {func(m *Mirror) { m.merge(one, beats(beat("a", 1))); m.merge(one, load(1, 1, "a")) }, true, true},
		"loaded": {func(m *Mirror) {
			m.merge(one, beats(beat("a", 1)))
			m.merge(one, load(1, 1, "a"))
			m.merge(one, load(1, 2))
		}, true, false},
		"directive of an old leader": {func(m *Mirror) {
			m.merge(one, beats(beat("a", 1)))
			m.merge(one, load(2, 1))
			m.merge(two, load(1, 9, "a"))
		}, true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m, o, _ := newMirror()
			m.merge(one, publication(1))
			test.do(m)
			e, ok := o.endpoints["a"]
			if ok != test.present || e.Leaving != test.leaving {
				t.Errorf("present %t, leaving %t", ok, e.Leaving)
			}
		})
	}
}

// load is a directive under which the endpoints change their weights.
func load(term, number uint64, names ...string) *boragewick.WatchUpdate {
	return &boragewick.WatchUpdate{Directive: &boragewick.Directive{Term: term, Number: number, Loading: names}}
}

func TestVersionsOfReportsGoFirst(t *testing.T) {
	m, o, _ := newMirror()
	m.merge(one, beats(beat("a", 1)))
	m.merge(one, &boragewick.WatchUpdate{Directive: &boragewick.Directive{Term: 1, Number: 1, Loaded: map[string]uint64{"a": 2}}})
	if w := o.endpoints["a"].Models[0].Weights; w != "2" {
		t.Errorf("weights %s before the next heartbeat", w)
	}
}

func TestLeastWeights(t *testing.T) {
	m, _, c := newMirror()
	m.merge(one, publication(1))
	begun := c.now
	for version := uint64(2); version <= 4; version++ {
		m.merge(one, &boragewick.WatchUpdate{Weights: map[string]uint64{"m": version}})
		c.now = c.now.Add(4 * time.Second)
	}
	tests := map[string]struct {
		before time.Time
		want   uint64
	}{
		"before all":       {begun, 0},
		"after the first":  {begun.Add(time.Second), 2},
		"after the second": {begun.Add(5 * time.Second), 3},
		"now":              {c.now, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := m.View().LeastWeights("m", test.before); got != test.want {
				t.Errorf("version %d, want %d", got, test.want)
			}
		})
	}
}
