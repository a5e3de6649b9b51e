// Package rollout plans how the endpoints of a route change to another version
// of its model.
package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	// maxFailedEndpoints is the number of failed endpoints that stops a rollout.
	maxFailedEndpoints = 2
	// loadTimeoutSeconds is how long an order may take.
	loadTimeoutSeconds = 30
	// switchPropagationSeconds is how long after a switch the route's former
	// version still counts as in force, for routers that have not received the
	// switch yet.
	switchPropagationSeconds = 10
)

// Planner decides the next step of all rollouts. It keeps no state.
type Planner struct{}

// planState is a Fleet and the step planned for it so far.
type planState struct {
	*boragewick.Fleet
	// loading holds the model that each endpoint with an order will load.
	loading map[string]boragewick.Model
	// required are the routes that must stay served: those in force, in both
	// versions right after a switch.
	required []*boragewick.Route
	step     boragewick.RolloutStep
}

// Next returns the next step. At most LoadLimit loads are open at the same time,
// over all rollouts. An endpoint is only ordered to load while another ready
// endpoint without an order serves each route in force that it would stop serving.
func (Planner) Next(f *boragewick.Fleet) boragewick.RolloutStep {
	s := &planState{Fleet: f, loading: map[string]boragewick.Model{}}
	s.step.Blocked = map[boragewick.ID]error{}
	for _, o := range f.Open {
		if s.mayBeLoading(&o) {
			s.loading[o.Endpoint] = o.Model
		}
	}
	s.collectRequired()
	for _, r := range f.Rollouts {
		if err := s.advance(&r); err != nil {
			s.step.Blocked[r.Route] = err
		}
	}
	return s.step
}

// collectRequired lists the routes that must stay served.
func (s *planState) collectRequired() {
	for _, route := range s.Routes {
		s.required = append(s.required, route)
	}
	for _, r := range s.Rollouts {
		route := s.Routes[r.Route]
		if route != nil && !r.Switched.IsZero() && s.Now.Before(r.Switched.Add(switchPropagationSeconds*time.Second)) {
			s.required = append(s.required, targetRoute(route, r.From))
		}
	}
}

// mayBeLoading reports whether an order may still be loading. Orders to an
// earlier run of the agent count until their deadline, as the engine may have
// received them.
func (s *planState) mayBeLoading(o *boragewick.Order) bool {
	return o.Kind == boragewick.OrderLoad && s.Now.Before(o.Deadline)
}

// advance adds the next orders, the switch or the end of the rollout to the step.
func (s *planState) advance(r *boragewick.Rollout) error {
	route := s.Routes[r.Route]
	if route == nil {
		return errors.Wrapf(boragewick.ErrUnknownRoute, "%s", r.Route)
	}
	pool := s.pool(route)
	if len(pool) == 0 {
		return errors.Wrapf(boragewick.ErrNoEndpoint, "pool %s", route.Pool)
	}
	target := targetRoute(route, r.Target)
	upgraded := s.countReady(target)
	switched := route.Weights == r.Target.Weights && route.Adapter == r.Target.Adapter
	if !switched && 2*upgraded >= len(pool) {
		s.step.Switch = append(s.step.Switch, boragewick.RouteSwitch{Route: r.Route, Target: r.Target})
	}
	pending := slices.DeleteFunc(pool, func(e *boragewick.Endpoint) bool { return e.Serves(target) })
	if len(pending) == 0 {
		if switched {
			s.step.Done = append(s.step.Done, r.Route)
		}
		return nil
	}
	if countFailedEndpoints(r.Failures) >= maxFailedEndpoints {
		return errors.Wrapf(boragewick.ErrEndpointFailed, "%d endpoints could not load %s", countFailedEndpoints(r.Failures), r.Target.Weights)
	}
	return s.orderLoads(r, pending)
}

// orderLoads orders loads at as many of the pending endpoints as may load now.
func (s *planState) orderLoads(r *boragewick.Rollout, pending []*boragewick.Endpoint) error {
	var blocked error
	for len(pending) > 0 {
		i := s.choose(pending)
		e := pending[i]
		pending = slices.Delete(pending, i, i+1)
		if _, ok := s.loading[e.Name]; ok || s.awaitsRetry(r, e) {
			continue
		}
		if len(s.loading) >= s.LoadLimit {
			return errors.Wrapf(boragewick.ErrTooManyLoads, "%d loads open", len(s.loading))
		}
		if err := s.checkReplaceable(e, r.Target); err != nil {
			blocked = err
			continue
		}
		s.loading[e.Name] = r.Target
		s.step.Orders = append(s.step.Orders, boragewick.Order{
			Endpoint:    e.Name,
			Incarnation: e.Incarnation,
			Kind:        boragewick.OrderLoad,
			Model:       r.Target,
			Deadline:    s.Now.Add(loadTimeoutSeconds * time.Second),
		})
	}
	return blocked
}

// choose returns the index of the endpoint to order next: the first one by
// Fleet.Before, then one in the failure domain with the most endpoints that have
// no order, then the first by name.
func (s *planState) choose(pending []*boragewick.Endpoint) int {
	free := map[string]int{}
	for i := range s.Endpoints {
		if _, ok := s.loading[s.Endpoints[i].Name]; !ok && s.Endpoints[i].Pool == pending[0].Pool {
			free[s.Endpoints[i].FailureDomain]++
		}
	}
	best := slices.MinFunc(pending, func(a, b *boragewick.Endpoint) int {
		if s.Before != nil && s.Before(a, b) != 0 {
			return s.Before(a, b)
		}
		return cmp.Or(cmp.Compare(free[b.FailureDomain], free[a.FailureDomain]), cmp.Compare(a.Name, b.Name))
	})
	return slices.Index(pending, best)
}

// checkReplaceable returns ErrLastReady unless every required route that the
// endpoint would stop serving has another ready endpoint without an order.
func (s *planState) checkReplaceable(e *boragewick.Endpoint, m boragewick.Model) error {
	for _, route := range s.required {
		if !e.Serves(route) || (route.Model == m.Name && route.Weights == m.Weights) {
			continue
		}
		if s.countReady(route) < 2 {
			return errors.Wrapf(boragewick.ErrLastReady, "endpoint %s of pool %s, weights %s", e.Name, route.Pool, route.Weights)
		}
	}
	return nil
}

// countReady counts the endpoints that serve the route and have no order.
func (s *planState) countReady(route *boragewick.Route) int {
	n := 0
	for i := range s.Endpoints {
		if _, ok := s.loading[s.Endpoints[i].Name]; !ok && s.Endpoints[i].Serves(route) {
			n++
		}
	}
	return n
}

// pool returns the model endpoints of the route's pool that are not leaving.
func (s *planState) pool(route *boragewick.Route) []*boragewick.Endpoint {
	var pool []*boragewick.Endpoint
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		if e.Pool == route.Pool && e.Kind == boragewick.EndpointModel && !e.Leaving {
			pool = append(pool, e)
		}
	}
	return pool
}

// awaitsRetry reports whether a load failed at the endpoint and may not be
// retried yet.
func (s *planState) awaitsRetry(r *boragewick.Rollout, e *boragewick.Endpoint) bool {
	return slices.ContainsFunc(r.Failures, func(l boragewick.LoadFailure) bool {
		return l.Endpoint == e.Name && s.Now.Before(l.RetryAt)
	})
}

// targetRoute returns a copy of the route with the model's weights and adapter.
func targetRoute(route *boragewick.Route, m boragewick.Model) *boragewick.Route {
	t := *route
	t.Weights = m.Weights
	t.Adapter = m.Adapter
	return &t
}

func countFailedEndpoints(failures []boragewick.LoadFailure) int {
	names := map[string]bool{}
	for _, l := range failures {
		if !l.Refused {
			names[l.Endpoint] = true
		}
	}
	return len(names)
}
