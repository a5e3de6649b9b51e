package settings

import (
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// The services that settings can name.
const (
	ServiceCaller   = "caller"
	ServiceOperator = "operator"
	ServiceControl  = "control"
	ServiceAgent    = "agent"
)

var serviceNames = []string{ServiceCaller, ServiceOperator, ServiceControl, ServiceAgent}

// rule is a constraint on the settings. Its section, key and requirement form the
// error if it is violated.
type rule struct {
	violated    bool
	section     string
	key         string
	requirement string
}

// Runs reports whether the settings name the service.
func (s *Settings) Runs(service string) bool {
	return slices.Contains(s.Instance.Services, service)
}

// TLS reports whether links use certificates.
func (s *Settings) TLS() bool { return s.Links.Certificate != "" }

func (s *Settings) check() error {
	rules := slices.Concat(s.instanceRules(), s.linkRules(), s.routerRules(), s.agentRules())
	for _, r := range rules {
		if r.violated {
			return errors.Wrapf(boragewick.ErrBadSettings, "[%s] %s: %s", r.section, r.key, r.requirement)
		}
	}
	return nil
}

func (s *Settings) instanceRules() []rule {
	unknown := slices.ContainsFunc(s.Instance.Services, func(n string) bool { return !slices.Contains(serviceNames, n) })
	return []rule{
		{s.Instance.Name == "", "instance", "name", "missing"},
		{s.Instance.FailureDomain == "", "instance", "failure_domain", "missing"},
		{s.Instance.Region == "", "instance", "region", "missing"},
		{len(s.Instance.Services) == 0, "instance", "services", "missing"},
		{unknown, "instance", "services", "must list only caller, operator, control and agent"},
		{s.Runs(ServiceControl) && s.Instance.Data == "", "instance", "data", "missing; the control service needs a data folder"},
		{!slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level), "log", "level", "must be debug, info, warn or error"},
		{!slices.Contains([]string{"logfmt", "json"}, s.Log.Format), "log", "format", "must be logfmt or json"},
	}
}

func (s *Settings) linkRules() []rule {
	listens := s.Runs(ServiceControl) || s.Runs(ServiceAgent)
	partial := (s.Links.Certificate == "") != (s.Links.Authority == "")
	listed := slices.ContainsFunc(s.Control.Replicas, func(r Replica) bool { return r.Name == s.Instance.Name })
	n := len(s.Control.Replicas)
	return []rule{
		{listens && !s.Links.Listen.IsValid(), "links", "listen", "missing"},
		{partial, "links", "certificate_file", "must be set together with authority_file"},
		{!s.TLS() && !s.Links.InsecureOK && isNonLoopback(s.Links.Listen), "links", "listen", "is not a loopback address and certificate_file is not set; set insecure_ok = true to allow it"},
		{n != 1 && n != 3 && n != 5, "control", "replicas", "must list 1, 3 or 5 replicas"},
		{s.Runs(ServiceControl) && !listed, "control", "replicas", "does not list this instance"},
		{s.Control.FreshFor <= 0, "control", "fresh_for", "must be positive"},
		{s.Control.LeaseFor <= 0, "control", "lease_for", "must be positive"},
		{s.Control.MaxLoads < 1, "control", "loads", "must be 1 or more"},
	}
}

func (s *Settings) routerRules() []rule {
	needsHashSecret := s.Runs(ServiceCaller) || s.Runs(ServiceControl)
	return []rule{
		{needsHashSecret && s.Keys.HashSecretFile == "", "keys", "hash_secret_file", "missing"},
		{s.Runs(ServiceCaller) && !s.Caller.Listen.IsValid(), "caller", "listen", "missing"},
		{s.Runs(ServiceCaller) && s.Caller.MaxBodyBytes < 1, "caller", "max_body_bytes", "must be positive"},
		{s.Runs(ServiceCaller) && s.Caller.FirstTokenTimeout <= 0, "caller", "first_token", "must be positive"},
		{(s.Caller.Certificate == "") != (s.Caller.Key == ""), "caller", "certificate_file", "must be set together with key_file"},
		{s.Runs(ServiceOperator) && !s.Operator.Listen.IsValid(), "operator", "listen", "missing"},
		{s.Runs(ServiceOperator) && s.Operator.TokensFile == "", "operator", "tokens_file", "missing"},
		{s.Report.OrderBy != "" && !slices.Contains(boragewick.ObjectiveNames[:], boragewick.Objective(s.Report.OrderBy)), "report", "first", "must be first_token, between_tokens, availability or refusals"},
		{s.Report.FirstTokenWithin < 0, "report", "first_token_within", "must not be negative"},
		{s.Report.BetweenTokensWithin < 0, "report", "between_tokens_within", "must not be negative"},
		{(s.Operator.Certificate == "") != (s.Operator.Key == ""), "operator", "certificate_file", "must be set together with key_file"},
	}
}

func (s *Settings) agentRules() []rule {
	if !s.Runs(ServiceAgent) {
		return nil
	}
	kind := boragewick.EndpointKind(s.Agent.Kind)
	return []rule{
		{s.Agent.Pool == "", "agent", "pool", "missing"},
		{kind != boragewick.EndpointModel && kind != boragewick.EndpointPlain, "agent", "kind", "must be model or plain"},
		{!s.Agent.Endpoint.IsValid(), "agent", "endpoint", "missing"},
		{kind == boragewick.EndpointModel && len(s.Agent.Models) == 0, "agent", "models", "missing; list name@weights or name@weights+adapter"},
		{s.Agent.Batch < 1, "agent", "batch", "must be 1 or more"},
	}
}

func isNonLoopback(a netip.AddrPort) bool {
	return a.IsValid() && !a.Addr().IsLoopback()
}
