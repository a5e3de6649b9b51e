package state

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// retryDelaySeconds is how long an endpoint is not tried again after an order
// failed.
const retryDelaySeconds = 10

// recordOrder records the newest order for an endpoint. The term and index of
// its log entry are its fencing.
func (m *Machine) recordOrder(o boragewick.Order, at boragewick.Revision) boragewick.Result {
	e, ok := m.endpoints[o.Endpoint]
	if !ok || e.Incarnation != o.Incarnation {
		return faultResult(errors.Wrapf(boragewick.ErrNoEndpoint, "endpoint %s has gone or restarted", o.Endpoint))
	}
	o.Fencing = boragewick.Fencing{Fence: at.Term, Number: at.Index}
	if m.orders == nil {
		m.orders = map[string]boragewick.OrderRecord{}
	}
	m.orders[o.Endpoint] = boragewick.OrderRecord{Order: o}
	return boragewick.Result{Order: &o}
}

// recordOutcome records how an order ended, unless there is a newer order for
// the endpoint.
func (m *Machine) recordOutcome(out *boragewick.OrderOutcome, at time.Time) boragewick.Result {
	r, ok := m.orders[out.Endpoint]
	if !ok || r.Order.Fencing != out.Fencing || r.Done {
		return boragewick.Result{}
	}
	r.Done = true
	r.Fault = out.Fault
	m.orders[out.Endpoint] = r
	if out.Fault == nil {
		return boragewick.Result{}
	}
	for _, route := range m.catalogue.All(boragewick.KindRoute) {
		ro := m.rolloutOf(route)
		if ro == nil || ro.Target != r.Order.Model {
			continue
		}
		ro.Failures = slices.DeleteFunc(slices.Clone(ro.Failures), func(l boragewick.LoadFailure) bool {
			return l.Endpoint == out.Endpoint
		})
		ro.Failures = append(ro.Failures, boragewick.LoadFailure{
			Endpoint: out.Endpoint,
			RetryAt:  at.Add(retryDelaySeconds * time.Second),
			Refused:  out.Fault.NotRun,
		})
		m.storeRollout(ro)
	}
	return boragewick.Result{}
}

// switchRoute puts the route's next model in force.
func (m *Machine) switchRoute(c *boragewick.RouteSwitch, at time.Time) boragewick.Result {
	old := m.catalogue.Get(c.Route)
	if old == nil || old.Route == nil {
		return faultResult(errors.Wrapf(boragewick.ErrUnknownRoute, "%s", c.Route))
	}
	ro := m.rolloutOf(old)
	if ro == nil || ro.Target != c.Target || !ro.Switched.IsZero() {
		return faultResult(errors.Wrapf(boragewick.ErrPlanStale, "route %s has no pending switch to %s", c.Route, c.Target.Weights))
	}
	route := *old.Route
	route.Weights, route.Adapter = c.Target.Weights, c.Target.Adapter
	route.NextWeights, route.NextAdapter = "", ""
	o := *old
	o.Route = &route
	o.Revision = m.appliedRevision.Index
	if err := m.catalogue.Put(&o); err != nil {
		return faultResult(err)
	}
	ro.Switched = at
	m.storeRollout(ro)
	m.appendUpdate(boragewick.Update{Objects: []boragewick.Object{o}})
	return boragewick.Result{}
}

// rolloutOf returns the route's current rollout: to its next model or, after the
// switch, to the one in force. It returns nil if there is none.
func (m *Machine) rolloutOf(o *boragewick.Object) *boragewick.Rollout {
	stored := m.rollouts[o.ID]
	inForce := boragewick.Model{Name: o.Route.Model, Weights: o.Route.Weights, Adapter: o.Route.Adapter}
	if o.Route.NextWeights == "" {
		if stored.Switched.IsZero() || stored.Target != inForce {
			return nil
		}
		return &stored
	}
	next := boragewick.Model{Name: o.Route.Model, Weights: o.Route.NextWeights, Adapter: o.Route.NextAdapter}
	if stored.Target != next || !stored.Switched.IsZero() {
		return &boragewick.Rollout{Route: o.ID, Target: next, From: inForce}
	}
	return &stored
}

func (m *Machine) storeRollout(r *boragewick.Rollout) {
	if m.rollouts == nil {
		m.rollouts = map[boragewick.ID]boragewick.Rollout{}
	}
	m.rollouts[r.Route] = *r
}

// NewestFencing returns the fencing of the newest order for the endpoint.
func (m *Machine) NewestFencing(endpoint string) boragewick.Fencing {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.orders[endpoint].Order.Fencing
}

// Fleet returns the input for planning the next step of the rollouts. An order
// that may still be loading counts as open.
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
		if r := m.rolloutOf(o); r != nil {
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
