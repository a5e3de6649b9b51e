package control

import (
	"context"

	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/rollout"
)

// roll takes the next step of all rollouts while this replica leads.
func (c *Control) roll(ctx context.Context) {
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
		c.orders.Go(func() { c.give(ctx, &e, result.Order) })
	}
	for _, r := range step.Switch {
		c.switchRoute(ctx, r)
	}
}

// give sends an order to its agent and records the outcome.
func (c *Control) give(ctx context.Context, e *boragewick.Endpoint, o *boragewick.Order) {
	sent, cancel := context.WithDeadline(ctx, o.Deadline)
	defer cancel()
	out := boragewick.OrderOutcome{Endpoint: o.Endpoint, Fencing: o.Fencing}
	var done boragewick.OrderOutcome
	err := boragewick.Call(sent, c.Agents.Peer(e), boragewick.MethodOrder, o, &done)
	_ = level.Info(c.Logger).Log("msg", "order ended", "endpoint", o.Endpoint, "weights", o.Model.Weights, "err", err)
	if err != nil {
		f := boragewick.FaultOf(err)
		out.Fault = &f
	}
	if _, err := c.propose(ctx, boragewick.Command{Outcome: &out}); err != nil {
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
