package process

import (
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/agent"
	"github.com/boragewick/boragewick/endpointhttp"
	"github.com/boragewick/boragewick/engine"
	"github.com/boragewick/boragewick/plain"
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
		Engine:   p.engineClient(),
		Control:  p.leader,
		Clock:    p.Clock,
		Logger:   p.Logger,
		DrainFor: s.Caller.DrainFor,
	}
	a.Handle(p.server.Handle)
	p.kernel.Register("agent", a)
	return nil
}

func (p *Process) engineClient() boragewick.Engine {
	caller := endpointhttp.Caller{Endpoint: p.Settings.Agent.Endpoint}
	if boragewick.EndpointKind(p.Settings.Agent.Kind) == boragewick.EndpointPlain {
		return &plain.Client{Caller: caller}
	}
	return &engine.Client{Caller: caller}
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
