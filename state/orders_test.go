package state

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// newRolloutFixture returns a machine with one endpoint and one route whose next
// weights are w2.
func newRolloutFixture(t *testing.T) (*Machine, func(c boragewick.Command) boragewick.Result, boragewick.ID) {
	t.Helper()
	m := &Machine{}
	index := uint64(0)
	apply := func(c boragewick.Command) boragewick.Result {
		t.Helper()
		index++
		c.At = time.Unix(int64(index), 0)
		b, err := boragewick.Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		var r boragewick.Result
		if err := boragewick.Decode(m.Apply(boragewick.Entry{Revision: boragewick.Revision{Term: 7, Index: index}, Command: b}), &r); err != nil {
			t.Fatal(err)
		}
		return r
	}
	id := boragewick.NewID(boragewick.KindRoute)
	route := boragewick.Object{
		ID: id, Kind: boragewick.KindRoute, Names: boragewick.Names{Path: "/r"},
		Route: &boragewick.Route{Model: "m", Pool: "p", Weights: "w1", NextWeights: "w2"},
	}
	plan := &boragewick.Plan{ID: "plan_a", Expires: time.Unix(1000, 0), Changes: []boragewick.Change{{Action: boragewick.ActionCreate, Object: route}}}
	apply(boragewick.Command{Plan: plan})
	if r := apply(boragewick.Command{Confirm: &boragewick.Confirm{Plan: "plan_a"}}); r.Decision == nil || r.Decision.Fault != nil {
		t.Fatalf("route not created: %+v", r)
	}
	apply(boragewick.Command{Announce: &boragewick.Announcement{Endpoint: boragewick.Endpoint{
		Name: "e", Pool: "p", Kind: boragewick.EndpointModel, Incarnation: "run1", Models: []boragewick.Model{{Name: "m", Weights: "w1"}},
	}}})
	return m, apply, id
}

func TestOrderOutcome(t *testing.T) {
	target := boragewick.Model{Name: "m", Weights: "w2"}
	order := &boragewick.Order{Endpoint: "e", Incarnation: "run1", Kind: boragewick.OrderLoad, Model: target}
	tests := map[string]struct {
		fault    *boragewick.Fault
		stale    bool
		open     int
		failures int
		refused  bool
	}{
		"carried out":              {},
		"refused":                  {fault: &boragewick.Fault{Code: "fenced", NotRun: true}, failures: 1, refused: true},
		"failed":                   {fault: &boragewick.Fault{Code: "endpoint_failed"}, failures: 1, open: 1},
		"an older order's outcome": {stale: true, open: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m, apply, _ := newRolloutFixture(t)
			first := apply(boragewick.Command{Order: order}).Order
			given := apply(boragewick.Command{Order: order}).Order
			if given.Fence != 7 || !first.Less(given.Fencing) || m.NewestFencing("e") != given.Fencing {
				t.Fatalf("orders %+v and %+v, newest %+v", first, given, m.NewestFencing("e"))
			}
			out := boragewick.OrderOutcome{Endpoint: "e", Fencing: given.Fencing, Fault: tt.fault}
			if tt.stale {
				out.Fencing = first.Fencing
			}
			apply(boragewick.Command{Outcome: &out})
			snapshot, err := m.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			restored := &Machine{}
			if err := restored.Restore(snapshot); err != nil {
				t.Fatal(err)
			}
			for _, m := range []*Machine{m, restored} {
				f := m.Fleet(time.Unix(100, 0), 2)
				if len(f.Open) != tt.open || len(f.Rollouts) != 1 || len(f.Rollouts[0].Failures) != tt.failures {
					t.Fatalf("fleet %+v", f)
				}
				if tt.failures == 1 && f.Rollouts[0].Failures[0].Refused != tt.refused {
					t.Errorf("failure %+v", f.Rollouts[0].Failures[0])
				}
				if m.NewestFencing("e") != given.Fencing {
					t.Errorf("newest order %+v, want %+v", m.NewestFencing("e"), given.Fencing)
				}
			}
		})
	}
}

func TestOrderRefused(t *testing.T) {
	_, apply, _ := newRolloutFixture(t)
	for name, o := range map[string]*boragewick.Order{
		"unknown endpoint": {Endpoint: "x", Incarnation: "run1"},
		"an earlier run":   {Endpoint: "e", Incarnation: "run0"},
	} {
		if r := apply(boragewick.Command{Order: o}); r.Fault == nil || !errors.Is(r.Fault.Err(), boragewick.ErrNoEndpoint) {
			t.Errorf("%s: %+v", name, r)
		}
	}
}

func TestSwitchRoute(t *testing.T) {
	target := boragewick.Model{Name: "m", Weights: "w2"}
	tests := map[string]struct {
		target boragewick.Model
		route  boragewick.ID
		twice  bool
		want   error
	}{
		"to the next model": {target: target},
		"again":             {target: target, twice: true, want: boragewick.ErrPlanStale},
		"to another model":  {target: boragewick.Model{Name: "m", Weights: "w3"}, want: boragewick.ErrPlanStale},
		"an unknown route":  {target: target, route: "route_none", want: boragewick.ErrUnknownRoute},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m, apply, id := newRolloutFixture(t)
			s := &boragewick.RouteSwitch{Route: id, Target: tt.target}
			if tt.route != "" {
				s.Route = tt.route
			}
			if tt.twice {
				apply(boragewick.Command{Switch: s})
			}
			before := m.Revision()
			r := apply(boragewick.Command{Switch: s})
			if tt.want != nil {
				if r.Fault == nil || !errors.Is(r.Fault.Err(), tt.want) || m.Revision() != before {
					t.Errorf("result %+v, want %v", r, tt.want)
				}
				return
			}
			f := m.Fleet(time.Unix(100, 0), 2)
			got := f.Routes[id]
			if r.Fault != nil || got.Weights != "w2" || got.NextWeights != "" || m.Revision() == before {
				t.Errorf("result %+v, route %+v", r, got)
			}
			if len(f.Rollouts) != 1 || f.Rollouts[0].From.Weights != "w1" || f.Rollouts[0].Switched.IsZero() {
				t.Errorf("rollouts %+v", f.Rollouts)
			}
		})
	}
}
