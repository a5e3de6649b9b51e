package state

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// retrySeconds is how long an endpoint is left alone after an order that failed.
const retrySeconds = 10

// order records the newest order to an endpoint. Its place in the log is its
// fencing.
func (m *Machine) order(o boragewick.Order, at boragewick.Revision) boragewick.Result {
	e, ok := m.endpoints[o.Endpoint]
	if !ok || e.Incarnation != o.Incarnation {
		return failed(errors.Wrapf(boragewick.ErrNoEndpoint, "endpoint %s has gone or restarted", o.Endpoint))
	}
	o.Fencing = boragewick.Fencing{Fence: at.Term, Number: at.Index}
	if m.orders == nil {
		m.orders = map[string]boragewick.OrderRecord{}
	}
	m.orders[o.Endpoint] = boragewick.OrderRecord{Order: o}
	return boragewick.Result{Order: &o}
}

// outcome records how an order ended, unless a newer one was given.
func (m *Machine) outcome(c *boragewick.OrderOutcome, at time.Time) boragewick.Result {
	r, ok := m.orders[c.Endpoint]
	if !ok || r.Order.Fencing != c.Fencing || r.Done {
		return boragewick.Result{}
	}
	r.Done = true
	r.Fault = c.Fault
	m.orders[c.Endpoint] = r
	if c.Fault == nil {
		return boragewick.Result{}
	}
	for _, route := range m.catalogue.All(boragewick.KindRoute) {
		ro := m.rollout(route)
		if ro == nil || ro.Target != r.Order.Model {
			continue
		}
		ro.Failures = slices.DeleteFunc(slices.Clone(ro.Failures), func(l boragewick.LoadFailure) bool {
			return l.Endpoint == c.Endpoint
		})
		ro.Failures = append(ro.Failures, boragewick.LoadFailure{
			Endpoint: c.Endpoint,
			RetryAt:  at.Add(retrySeconds * time.Second),
			Refused:  c.Fault.NotRun,
		})
		m.keepRollout(ro)
	}
	return boragewick.Result{}
}

// switchRoute makes the route need its next model.
func (m *Machine) switchRoute(c *boragewick.RouteSwitch, at time.Time) boragewick.Result {
	old := m.catalogue.Get(c.Route)
	if old == nil || old.Route == nil {
		return failed(errors.Wrapf(boragewick.ErrUnknownRoute, "%s", c.Route))
	}
	ro := m.rollout(old)
	if ro == nil || ro.Target != c.Target || !ro.Switched.IsZero() {
		return failed(errors.Wrapf(boragewick.ErrPlanStale, "route %s is not to need %s", c.Route, c.Target.Weights))
	}
	route := *old.Route
	route.Weights, route.Adapter = c.Target.Weights, c.Target.Adapter
	route.NextWeights, route.NextAdapter = "", ""
	o := *old
	o.Route = &route
	o.Revision = m.revision.Index
	if err := m.catalogue.Put(&o); err != nil {
		return failed(err)
	}
	ro.Switched = at
	m.keepRollout(ro)
	m.update(boragewick.Update{Objects: []boragewick.Object{o}})
	return boragewick.Result{}
}

// rollout returns the route's change of version under way: to its next model,
// or, after the switch, to the one in force. It is nil without one.
func (m *Machine) rollout(o *boragewick.Object) *boragewick.Rollout {
	known := m.rollouts[o.ID]
	inForce := boragewick.Model{Name: o.Route.Model, Weights: o.Route.Weights, Adapter: o.Route.Adapter}
	if o.Route.NextWeights == "" {
		if known.Switched.IsZero() || known.Target != inForce {
			return nil
		}
		return &known
	}
	next := boragewick.Model{Name: o.Route.Model, Weights: o.Route.NextWeights, Adapter: o.Route.NextAdapter}
	if known.Target != next || !known.Switched.IsZero() {
		return &boragewick.Rollout{Route: o.ID, Target: next, From: inForce}
	}
	return &known
}

func (m *Machine) keepRollout(r *boragewick.Rollout) {
	if m.rollouts == nil {
		m.rollouts = map[boragewick.ID]boragewick.Rollout{}
	}
	m.rollouts[r.Route] = *r
}

// Newest returns the fencing of the newest order to the endpoint.
func (m *Machine) Newest(endpoint string) boragewick.Fencing {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.orders[endpoint].Order.Fencing
}

// Fleet returns what the next step of the rollouts depends on. An order that
// may still be loading counts as open.
func (m *Machine) Fleet(now time.Time, loadLimit int) *boragewick.Fleet {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f := &boragewick.Fleet{Now: now, Routes: map[boragewick.ID]*boragewick.Route{}, LoadLimit: loadLimit}
	for _, e := range m.endpoints {
		f.Endpoints = append(f.Endpoints, e)
	}
	slices.SortFunc(f.Endpoints, func(a, b boragewick.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	for _, o := range m.catalogue.All(boragewick.KindRoute) {
		f.Routes[o.ID] = o.Route
		if r := m.rollout(o); r != nil {
			f.Rollouts = append(f.Rollouts, *r)
		}
	}
	for _, r := range m.orders {
		if !r.Done || r.Fault != nil && !r.Fault.NotRun {
			f.Open = append(f.Open, r.Order)
		}
	}
	return f
}
