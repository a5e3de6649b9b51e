package mirror

import (
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// engineReports returns the update of an agent whose engine has the version of m.
func engineReports(version uint64, busy bool) *boragewick.EngineUpdate {
	return &boragewick.EngineUpdate{Weights: map[string]uint64{"m": version}, Busy: busy}
}

// TestServiceDuringUpgrade guards against engines that stay out of service after their
// upgrade, or without a leader, and against requests to engines while they load.
func TestServiceDuringUpgrade(t *testing.T) {
	const lease = 3 * time.Second
	type state struct {
		m *Mirror
		c *fakeClock
	}
	pass := func(s state, d time.Duration) {
		for end := s.c.now.Add(d); s.c.now.Before(end); {
			s.c.now = s.c.now.Add(min(selectInterval, end.Sub(s.c.now)))
			s.m.expireLoading()
		}
	}
	agent := func(version uint64, busy bool) func(state) {
		return func(s state) { s.m.ObserveEngine("a", engineReports(version, busy)) }
	}
	directive := func(number uint64, names ...string) func(state) {
		return func(s state) { s.m.merge(r1, loadDirective(1, number, names...)) }
	}
	wait := func(d time.Duration) func(state) { return func(s state) { pass(s, d) } }
	named := func(version uint64) func(state) {
		return func(s state) { s.m.merge(r1, &boragewick.WatchUpdate{Weights: map[string]uint64{"m": version}}) }
	}
	tests := map[string]struct {
		steps   []func(state)
		out     bool
		version string
	}{
		"before the order":                      {[]func(state){agent(1, false), directive(1, "a"), wait(time.Second)}, true, "1"},
		"during the load":                       {[]func(state){directive(1, "a"), agent(1, true)}, true, "1"},
		"loaded, the leader doesn't say so":     {[]func(state){directive(1, "a"), agent(1, true), agent(2, false)}, false, "2"},
		"loaded, another order is in progress":  {[]func(state){directive(1, "a"), agent(2, true)}, true, "2"},
		"loaded before the directive":           {[]func(state){agent(2, false), directive(1, "a")}, false, "2"},
		"a newer version is named meanwhile":    {[]func(state){directive(1, "a"), agent(1, true), named(3), agent(2, false)}, true, "2"},
		"an older version than named":           {[]func(state){named(3), directive(1, "a"), agent(2, false)}, true, "2"},
		"a version that is not named":           {[]func(state){directive(1, "a"), agent(7, false)}, true, "1"},
		"named after it was reported":           {[]func(state){directive(1, "a"), agent(3, false), named(3)}, false, "3"},
		"leader frozen before the order":        {[]func(state){directive(1, "a"), agent(1, false), wait(lease)}, false, "1"},
		"not over yet":                          {[]func(state){directive(1, "a"), wait(lease - 2*selectInterval)}, true, "1"},
		"leader frozen, order carried out late": {[]func(state){directive(1, "a"), wait(lease / 2), agent(1, true), wait(lease)}, true, "1"},
		"late order done":                       {[]func(state){directive(1, "a"), wait(lease / 2), agent(1, true), wait(lease), agent(2, false)}, false, "2"},
		"late order without effect":             {[]func(state){directive(1, "a"), wait(lease / 2), agent(1, true), wait(lease), agent(1, false)}, false, "1"},
		"agent lost during a late order": {[]func(state){
			directive(1, "a"), agent(1, true), wait(lease), func(s state) { s.m.ObserveEngine("a", nil) },
		}, false, "1"},
		"engine down during a late order": {[]func(state){
			directive(1, "a"), agent(1, true), wait(lease),
			func(s state) { s.m.ObserveEngine("a", &boragewick.EngineUpdate{Down: true}) },
		}, false, "1"},
		"leader renews":                {[]func(state){directive(1, "a"), wait(2 * time.Second), directive(2, "a"), wait(2 * time.Second)}, true, "1"},
		"renewed after it had expired": {[]func(state){directive(1, "a"), wait(lease), directive(2, "a")}, true, "1"},
		"the same directive again":     {[]func(state){directive(1, "a"), wait(lease), directive(1, "a")}, false, "1"},
		"next leader's directive during the load": {[]func(state){
			directive(1, "a"), agent(1, true), func(s state) { s.m.merge(r1, loadDirective(2, 1)) },
		}, true, "1"},
		"next leader's directive without an agent": {[]func(state){
			directive(1, "a"), func(s state) { s.m.merge(r1, loadDirective(2, 1)) },
		}, false, "1"},
		"order in progress without a directive": {[]func(state){agent(1, true)}, false, "1"},
		"agent of an earlier version": {[]func(state){
			directive(1, "a"), func(s state) { s.m.ObserveEngine("a", &boragewick.EngineUpdate{Active: 3}) },
		}, true, "1"},
		"agent restarts during the load": {[]func(state){
			directive(1, "a"), agent(1, true), func(s state) { s.m.ObserveEngine("a", nil) },
		}, true, "1"},
		"agent back after the load": {[]func(state){
			directive(1, "a"), agent(1, true), func(s state) { s.m.ObserveEngine("a", nil) }, agent(2, false),
		}, false, "2"},
		"crash, back with the old version": {[]func(state){
			directive(1, "a"), agent(2, false),
			func(s state) {
				s.m.merge(r1, &boragewick.WatchUpdate{Directive: &boragewick.Directive{Term: 1, Number: 2, Loaded: map[string]map[string]uint64{"a": {"m": 2}}}})
			},
			func(s state) { s.m.ObserveEngine("a", &boragewick.EngineUpdate{Down: true}) },
			agent(1, false),
		}, false, "1"},
		"crash during the load, back under the name": {[]func(state){
			directive(1, "a"), agent(1, true),
			func(s state) { s.m.ObserveEngine("a", &boragewick.EngineUpdate{Down: true}) },
			func(s state) {
				r := reg("a", 1)
				r.Started = 2
				s.m.merge(r1, update(r))
			},
			directive(2), agent(1, false),
		}, false, "1"},
		"update about the load only": {[]func(state){
			directive(1, "a"), agent(1, true), directive(2), func(s state) { s.m.ObserveEngine("a", &boragewick.EngineUpdate{Active: 3}) },
		}, true, "1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m, o, c := newMirror()
			m.OrderLease = lease
			s := state{m, c}
			m.merge(r1, publicationUpdate(1))
			m.merge(r1, update(reg("a", 1), reg("b", 1)))
			named(2)(s)
			for _, step := range test.steps {
				step(s)
			}
			e := o.endpoints["a"]
			if e.Leaving != test.out || e.Models[0].Weights != test.version {
				t.Errorf("out of service %t with version %s", e.Leaving, e.Models[0].Weights)
			}
			if o.endpoints["b"].Leaving {
				t.Error("another engine is out of service")
			}
			if n := m.OutOfService(); (n == 1) != test.out {
				t.Errorf("%d engines are out of service", n)
			}
		})
	}
}

// TestRequiredVersionAfterExpiry guards against requests that run on old weights because
// an engine is back in service: the version that requests need is still the newest.
func TestRequiredVersionAfterExpiry(t *testing.T) {
	m, _, c := newMirror()
	m.OrderLease = time.Second
	m.merge(r1, publicationUpdate(1))
	m.merge(r1, update(reg("a", 1)))
	m.merge(r1, &boragewick.WatchUpdate{Weights: map[string]uint64{"m": 2}})
	m.merge(r1, loadDirective(1, 1, "a"))
	m.ObserveEngine("a", engineReports(1, false))
	c.now = c.now.Add(time.Second)
	m.expireLoading()
	if v := m.View(); m.OutOfService() != 0 || v.Weights["m"] != 2 || newestBefore(v, c.now) != 2 {
		t.Errorf("%d engines out of service, required %v", m.OutOfService(), v.Weights)
	}
}
