package control

import (
	"context"

	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/rollout"
)

// advanceRollouts carries out the next step of all rollouts while this replica
// leads.
func (c *Control) advanceRollouts(ctx context.Context) {
	if c.Agents == nil || !c.Log.Status().Leading {
		return
	}
	fleet := c.State.Fleet(c.Clock.Now(), c.LoadLimit)
	step := rollout.Planner{}.Next(fleet)
	for _, o := range step.Orders {
		result, err := c.propose(ctx, boragewick.Command{Order: &o})
		if err != nil {
			_ = level.Warn(c.Logger).Log("msg", "order not recorded", "endpoint", o.Endpoint, "err", err)
			return
		}
		e := c.State.Endpoints()[o.Endpoint]
		c.deliveries.Go(func() { c.deliverOrder(ctx, &e, result.Order) })
	}
	for _, r := range step.Switch {
		c.switchRoute(ctx, r)
	}
}

// deliverOrder sends an order to the endpoint's agent and records the outcome.
func (c *Control) deliverOrder(ctx context.Context, e *boragewick.Endpoint, o *boragewick.Order) {
	callCtx, cancel := context.WithDeadline(ctx, o.Deadline)
	defer cancel()
	outcome := boragewick.OrderOutcome{Endpoint: o.Endpoint, Fencing: o.Fencing}
	var reply boragewick.OrderOutcome
	err := boragewick.Call(callCtx, c.Agents.Peer(e), boragewick.MethodOrder, o, &reply)
	_ = level.Info(c.Logger).Log("msg", "order ended", "endpoint", o.Endpoint, "weights", o.Model.Weights, "err", err)
	if err != nil {
		f := boragewick.FaultOf(err)
		outcome.Fault = &f
	}
	if _, err := c.propose(ctx, boragewick.Command{Outcome: &outcome}); err != nil {
		_ = level.Warn(c.Logger).Log("msg", "outcome of an order not recorded", "endpoint", o.Endpoint, "err", err)
	}
}

func (c *Control) switchRoute(ctx context.Context, s boragewick.RouteSwitch) {
	if _, err := c.propose(ctx, boragewick.Command{Switch: &s}); err != nil {
		_ = level.Warn(c.Logger).Log("msg", "route not switched", "route", s.Route, "err", err)
		return
	}
	_ = level.Info(c.Logger).Log("msg", "route switched", "route", s.Route, "weights", s.Target.Weights)
}
