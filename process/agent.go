package process

import (
	"context"
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/admission"
	"github.com/boragewick/boragewick/agent"
	"github.com/boragewick/boragewick/claimlog"
	"github.com/boragewick/boragewick/endpointhttp"
	"github.com/boragewick/boragewick/engine"
	"github.com/boragewick/boragewick/index"
	"github.com/boragewick/boragewick/kvstore"
	"github.com/boragewick/boragewick/learner"
	"github.com/boragewick/boragewick/orders"
	"github.com/boragewick/boragewick/plain"
	"github.com/boragewick/boragewick/takes"
	"github.com/boragewick/boragewick/transfer"
)

func (p *Process) buildAgent() error {
	s := p.Settings
	models, err := parseModels(s.Agent.Models)
	if err != nil {
		return err
	}
	l, err := listener(p.LinkListener, s.Links.Listen.String())
	if err != nil {
		return errors.Wrap(err, "[links] listen")
	}
	p.LinkListener = l
	addr, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		return errors.Wrapf(boragewick.ErrBadSettings, "[links] listen: %s", err)
	}
	cache := &index.Index{}
	a := &agent.Agent{
		Endpoint: boragewick.Endpoint{
			Name:          s.Instance.Name,
			Agent:         addr,
			Pool:          s.Agent.Pool,
			Kind:          boragewick.EndpointKind(s.Agent.Kind),
			FailureDomain: s.Instance.FailureDomain,
			Region:        s.Instance.Region,
			Models:        models,
			Incarnation:   p.hello.Incarnation,
		},
		Admission:    &admission.Queue{MaxBatch: s.Agent.Batch, Clock: p.Clock},
		Cache:        cache,
		TakenClaims:  &takes.AgentClaims{Agent: p.hello.Incarnation},
		Claims:       claimlog.Log{Leader: p.leader},
		Control:      p.leader,
		Clock:        p.Clock,
		Logger:       p.Logger,
		DrainTimeout: s.Caller.DrainTimeout,
	}
	p.connectEndpoint(a)
	a.Handle(p.server.Handle)
	p.kernel.Register("agent", a)
	return nil
}

// connectEndpoint sets the agent's client for its endpoint. For a model engine
// it also registers a service that keeps the agent's cache index in sync with the
// engine's cache.
func (p *Process) connectEndpoint(a *agent.Agent) {
	if a.Endpoint.Kind == boragewick.EndpointPlain {
		a.Engine = &plain.Client{Caller: endpointhttp.Caller{Endpoint: p.Settings.Agent.Endpoint}}
		return
	}
	c := &engine.Client{Caller: endpointhttp.Caller{Endpoint: p.Settings.Agent.Endpoint}}
	a.Engine = &learner.Engine{Engine: c, Cache: a.Cache}
	if store := p.Settings.Agent.KVStore; store.IsValid() {
		a.Engine = &kvstore.Importer{
			Engine:    a.Engine,
			Local:     c,
			Store:     &engine.Client{Caller: endpointhttp.Caller{Endpoint: store}},
			Cache:     a.Cache,
			Estimator: &transfer.Estimator{Clock: p.Clock},
			Clock:     p.Clock,
		}
	}
	a.LoadReporter = c
	a.Orders = &orders.Executor{
		Engine:       c,
		EngineFences: p.Settings.Agent.ChecksFencing,
		Incarnation:  a.Endpoint.Incarnation,
	}
	p.kernel.Register("cache", boragewick.ServiceFunc(func(ctx context.Context) error {
		return c.Follow(ctx, a.Cache)
	}))
}

// parseModels parses entries of the form name@weights or name@weights+adapter.
func parseModels(list []string) ([]boragewick.Model, error) {
	var models []boragewick.Model
	for _, text := range list {
		name, rest, ok := strings.Cut(text, "@")
		weights, adapter, _ := strings.Cut(rest, "+")
		if !ok || name == "" || weights == "" {
			return nil, errors.Wrapf(boragewick.ErrBadSettings, "[agent] models: %q is not name@weights or name@weights+adapter", text)
		}
		models = append(models, boragewick.Model{Name: name, Weights: weights, Adapter: adapter})
	}
	return models, nil
}
