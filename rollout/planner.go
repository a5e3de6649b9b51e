// Package rollout decides how the endpoints of a route go over to another
// version of its model.
package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	// maxFailures is the number of endpoints whose failures stop a rollout.
	maxFailures = 2
	// loadSeconds is how long an order may take.
	loadSeconds = 30
	// holdSeconds is how long a route's former version counts as in force, for
	// routers that have not heard of the switch.
	holdSeconds = 10
)

// Planner decides the next step of all rollouts. It keeps no state.
type Planner struct{}

// fleet is a Fleet in the course of a decision.
type fleet struct {
	*boragewick.Fleet
	// taken holds the model that each endpoint with an order will load.
	taken map[string]boragewick.Model
	// needed are the routes in force, in both versions right after a switch.
	needed []*boragewick.Route
	step   boragewick.RolloutStep
}

// Next returns the next step. At most LoadLimit loads are open at once, over
// all rollouts. An endpoint is only taken while another one, ready and without
// an order, serves each route in force that it would stop serving.
func (Planner) Next(f *boragewick.Fleet) boragewick.RolloutStep {
	s := &fleet{Fleet: f, taken: map[string]boragewick.Model{}}
	s.step.Blocked = map[boragewick.ID]error{}
	for _, o := range f.Open {
		if s.open(&o) {
			s.taken[o.Endpoint] = o.Model
		}
	}
	s.need()
	for _, r := range f.Rollouts {
		if err := s.advance(&r); err != nil {
			s.step.Blocked[r.Route] = err
		}
	}
	return s.step
}

// need lists what must stay served.
func (f *fleet) need() {
	for _, route := range f.Routes {
		f.needed = append(f.needed, route)
	}
	for _, r := range f.Rollouts {
		route := f.Routes[r.Route]
		if route != nil && !r.Switched.IsZero() && f.Now.Before(r.Switched.Add(holdSeconds*time.Second)) {
			f.needed = append(f.needed, target(route, r.From))
		}
	}
}

// open reports whether an order may still be loading. The orders of an earlier
// run of the agent count until their deadline, as the engine may have them.
func (f *fleet) open(o *boragewick.Order) bool {
	return o.Kind == boragewick.OrderLoad && f.Now.Before(o.Deadline)
}

// advance adds what the rollout needs next.
func (f *fleet) advance(r *boragewick.Rollout) error {
	route := f.Routes[r.Route]
	if route == nil {
		return errors.Wrapf(boragewick.ErrUnknownRoute, "%s", r.Route)
	}
	pool := f.pool(route)
	if len(pool) == 0 {
		return errors.Wrapf(boragewick.ErrNoEndpoint, "pool %s", route.Pool)
	}
	target := target(route, r.Target)
	moved := f.ready(target)
	switched := route.Weights == r.Target.Weights && route.Adapter == r.Target.Adapter
	if !switched && 2*moved >= len(pool) {
		f.step.Switch = append(f.step.Switch, boragewick.RouteSwitch{Route: r.Route, Target: r.Target})
	}
	waiting := slices.DeleteFunc(pool, func(e *boragewick.Endpoint) bool { return e.Serves(target) })
	if len(waiting) == 0 {
		if switched {
			f.step.Done = append(f.step.Done, r.Route)
		}
		return nil
	}
	if distinct(r.Failures) >= maxFailures {
		return errors.Wrapf(boragewick.ErrEndpointFailed, "%d endpoints could not load %s", distinct(r.Failures), r.Target.Weights)
	}
	return f.take(r, waiting)
}

// take orders as many of the waiting endpoints as may be taken now.
func (f *fleet) take(r *boragewick.Rollout, waiting []*boragewick.Endpoint) error {
	var blocked error
	for len(waiting) > 0 {
		i := f.choose(waiting)
		e := waiting[i]
		waiting = slices.Delete(waiting, i, i+1)
		if _, ok := f.taken[e.Name]; ok || f.failed(r, e) {
			continue
		}
		if len(f.taken) >= f.LoadLimit {
			return errors.Wrapf(boragewick.ErrTooManyLoads, "%d open", len(f.taken))
		}
		if err := f.spare(e, r.Target); err != nil {
			blocked = err
			continue
		}
		f.taken[e.Name] = r.Target
		f.step.Orders = append(f.step.Orders, boragewick.Order{
			Endpoint:    e.Name,
			Incarnation: e.Incarnation,
			Kind:        boragewick.OrderLoad,
			Model:       r.Target,
			Deadline:    f.Now.Add(loadSeconds * time.Second),
		})
	}
	return blocked
}

// choose returns the position of the endpoint to take next: the first one in the
// fleet's own order, then one in the failure domain with the most endpoints that
// have no order, the first by name.
func (f *fleet) choose(waiting []*boragewick.Endpoint) int {
	free := map[string]int{}
	for i := range f.Endpoints {
		if _, ok := f.taken[f.Endpoints[i].Name]; !ok && f.Endpoints[i].Pool == waiting[0].Pool {
			free[f.Endpoints[i].FailureDomain]++
		}
	}
	best := slices.MinFunc(waiting, func(a, b *boragewick.Endpoint) int {
		if f.Before != nil && f.Before(a, b) != 0 {
			return f.Before(a, b)
		}
		return cmp.Or(cmp.Compare(free[b.FailureDomain], free[a.FailureDomain]), cmp.Compare(a.Name, b.Name))
	})
	return slices.Index(waiting, best)
}

// spare reports whether every route in force that the endpoint serves and
// would stop serving has another ready endpoint without an order.
func (f *fleet) spare(e *boragewick.Endpoint, m boragewick.Model) error {
	for _, route := range f.needed {
		if !e.Serves(route) || (route.Model == m.Name && route.Weights == m.Weights) {
			continue
		}
		if f.ready(route) < 2 {
			return errors.Wrapf(boragewick.ErrLastReady, "%s of pool %s for %s", e.Name, route.Pool, route.Weights)
		}
	}
	return nil
}

// ready counts the endpoints without an order that serve the route.
func (f *fleet) ready(route *boragewick.Route) int {
	n := 0
	for i := range f.Endpoints {
		if _, ok := f.taken[f.Endpoints[i].Name]; !ok && f.Endpoints[i].Serves(route) {
			n++
		}
	}
	return n
}

// pool returns the endpoints of the route's pool that stay.
func (f *fleet) pool(route *boragewick.Route) []*boragewick.Endpoint {
	var pool []*boragewick.Endpoint
	for i := range f.Endpoints {
		e := &f.Endpoints[i]
		if e.Pool == route.Pool && e.Kind == boragewick.EndpointModel && !e.Leaving {
			pool = append(pool, e)
		}
	}
	return pool
}

// failed reports whether the endpoint has failed and may not be tried again yet.
func (f *fleet) failed(r *boragewick.Rollout, e *boragewick.Endpoint) bool {
	return slices.ContainsFunc(r.Failures, func(l boragewick.LoadFailure) bool {
		return l.Endpoint == e.Name && f.Now.Before(l.RetryAt)
	})
}

// target returns the route as it is to be.
func target(route *boragewick.Route, m boragewick.Model) *boragewick.Route {
	t := *route
	t.Weights = m.Weights
	t.Adapter = m.Adapter
	return &t
}

func distinct(failures []boragewick.LoadFailure) int {
	names := map[string]bool{}
	for _, l := range failures {
		if !l.Refused {
			names[l.Endpoint] = true
		}
	}
	return len(names)
}
