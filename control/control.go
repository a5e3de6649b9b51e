// Package control serves routers, agents and operators from one control
// replica: it commits their commands, streams the configuration to them and
// maintains the leases of endpoints.
package control

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/catalogue"
	"github.com/boragewick/boragewick/ledger"
	"github.com/boragewick/boragewick/planner"
	"github.com/boragewick/boragewick/state"
)

// Control is the service of one control replica.
type Control struct {
	Log     boragewick.Log
	Group   boragewick.Group
	State   *state.Machine
	Planner planner.Planner
	Clock   boragewick.Clock
	Logger  log.Logger
	// Leader calls the control replica that leads.
	Leader boragewick.Peer
	// Rates grants shares of workspaces' rates while this replica leads.
	Rates *ledger.Ledger
	// Agents connects to the agents that receive orders; with nil no orders are
	// issued.
	Agents boragewick.Agents
	// LoadLimit is the maximum number of endpoints that load at the same time.
	LoadLimit int
	// LeaseFor is the duration of the lease that an announcement gives.
	LeaseFor time.Duration

	deliveries sync.WaitGroup

	mu              sync.Mutex
	leases          map[string]time.Time
	loads           map[string]boragewick.EndpointLoad
	wasLeading      bool
	latestFreshness boragewick.Freshness
	instances       map[string]boragewick.InstanceStatus
	// reportedAt is when instances were last reported to the leader. reportDue
	// is set when an instance has been added or has changed its revision in force
	// since.
	reportedAt time.Time
	reportDue  bool

	snapshotSlotsOnce sync.Once
	// snapshotSlots holds a token for each receiver that is being sent a snapshot.
	snapshotSlots chan struct{}

	ratesMu   sync.Mutex
	ownsRates bool
	// ownedRatesBefore is set once this replica has owned the rates.
	ownedRatesBefore bool
	ratesRevision    boragewick.Revision
}

// Handle registers the methods that the replica serves.
func (c *Control) Handle(register func(method string, h boragewick.Handler)) {
	register(boragewick.MethodFollow, boragewick.HandlerFunc(c.follow))
	register(boragewick.MethodFresh, boragewick.Unary(c.freshness))
	register(boragewick.MethodAnnounce, boragewick.Unary(c.announce))
	register(boragewick.MethodPlan, boragewick.Unary(c.plan))
	register(boragewick.MethodShow, boragewick.Unary(c.show))
	register(boragewick.MethodConfirm, boragewick.Unary(c.confirm))
	register(boragewick.MethodGet, boragewick.Unary(c.get))
	register(boragewick.MethodMember, boragewick.Unary(c.member))
	register(boragewick.MethodStatus, boragewick.Unary(c.status))
	register(boragewick.MethodClaim, boragewick.Unary(c.claim))
	register(boragewick.MethodSettle, boragewick.Unary(c.settle))
	register(boragewick.MethodGrant, boragewick.Unary(c.grant))
}

// propose commits the command and returns its result. A fault in the result
// is returned as the error.
func (c *Control) propose(ctx context.Context, cmd boragewick.Command) (boragewick.Result, error) {
	cmd.At = c.Clock.Now()
	b, err := boragewick.Encode(cmd)
	if err != nil {
		return boragewick.Result{}, err
	}
	out, err := c.Log.Propose(ctx, b)
	if err != nil {
		return boragewick.Result{}, err
	}
	var result boragewick.Result
	if err := boragewick.Decode(out, &result); err != nil {
		return result, err
	}
	if result.Fault != nil {
		return result, result.Fault.Err()
	}
	return result, nil
}

func (c *Control) plan(ctx context.Context, r boragewick.PlanRequest) (boragewick.PlanReply, error) {
	if err := c.Log.Barrier(ctx); err != nil {
		return boragewick.PlanReply{}, err
	}
	var reply boragewick.PlanReply
	var err error
	c.State.View(func(cat *catalogue.Catalogue) {
		reply, err = c.Planner.Plan(cat, r.Intent, r.Operator, c.Clock.Now())
	})
	if err != nil {
		return boragewick.PlanReply{}, err
	}
	_, err = c.propose(ctx, boragewick.Command{Plan: &reply.Plan})
	return reply, err
}

func (c *Control) show(ctx context.Context, id boragewick.ID) (boragewick.Plan, error) {
	if err := c.Log.Barrier(ctx); err != nil {
		return boragewick.Plan{}, err
	}
	p := c.State.Plan(id)
	if p == nil {
		return boragewick.Plan{}, errors.Wrapf(boragewick.ErrUnknownPlan, "no open plan %s", id)
	}
	return *p, nil
}

func (c *Control) confirm(ctx context.Context, r boragewick.Confirm) (boragewick.Decision, error) {
	result, err := c.propose(ctx, boragewick.Command{Confirm: &r})
	if err != nil {
		return boragewick.Decision{}, err
	}
	d := *result.Decision
	_ = level.Info(c.Logger).Log("msg", "plan decided", "plan", d.Plan, "operator", d.Operator,
		"revision", d.Revision.Index, "applied", d.Fault == nil)
	return d, nil
}

func (c *Control) get(ctx context.Context, r boragewick.GetRequest) (boragewick.GetReply, error) {
	if err := c.Log.Barrier(ctx); err != nil {
		return boragewick.GetReply{}, err
	}
	var reply boragewick.GetReply
	var err error
	c.State.View(func(cat *catalogue.Catalogue) {
		if r.Ref == "" {
			reply.Objects = copyObjects(cat.All(r.Kind))
			return
		}
		var o *boragewick.Object
		if o, err = cat.Find(r.Kind, r.Ref); err == nil {
			reply.Objects = []boragewick.Object{*o}
		}
	})
	if err != nil || r.Ref == "" {
		return reply, err
	}
	reply.History = c.State.History(reply.Objects[0].ID)
	return reply, nil
}

func copyObjects(objects []*boragewick.Object) []boragewick.Object {
	list := make([]boragewick.Object, len(objects))
	for i, o := range objects {
		list[i] = *o
	}
	return list
}
