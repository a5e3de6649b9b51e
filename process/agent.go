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
	"github.com/boragewick/boragewick/plain"
	"github.com/boragewick/boragewick/takes"
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
		Engine:    p.engineClient(cache),
		Admission: &admission.Queue{MaxBatch: s.Agent.Batch, Clock: p.Clock},
		Cache:     cache,
		Takes:     &takes.Takes{Agent: p.hello.Incarnation},
		Claims:    claimlog.Log{Leader: p.leader},
		Control:   p.leader,
		Clock:     p.Clock,
		Logger:    p.Logger,
		DrainFor:  s.Caller.DrainFor,
	}
	a.Handle(p.server.Handle)
	p.kernel.Register("agent", a)
	return nil
}

// engineClient returns the client of the endpoint. It keeps the cache in step
// with a model engine's.
func (p *Process) engineClient(cache boragewick.PrefixCache) boragewick.Engine {
	if boragewick.EndpointKind(p.Settings.Agent.Kind) == boragewick.EndpointPlain {
		return &plain.Client{Caller: endpointhttp.Caller{Endpoint: p.Settings.Agent.Endpoint}}
	}
	c := &engine.Client{Caller: endpointhttp.Caller{Endpoint: p.Settings.Agent.Endpoint}}
	p.kernel.Register("cache", boragewick.ServiceFunc(func(ctx context.Context) error {
		return c.Follow(ctx, cache)
	}))
	return c
}

// parseModels reads name@weights and name@weights+adapter.
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
