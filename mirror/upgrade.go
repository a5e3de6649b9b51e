package mirror

import (
	"maps"
	"time"

	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

// agentReport is what an engine's agent reports of its weights.
type agentReport struct {
	// weights is empty until the agent has reported versions.
	weights map[string]uint64
	busy    bool
	down    bool
	// lowered reports whether a version was higher in the agent's last report but one, as
	// the engine has restarted. Heartbeats and directives may still hold the version that
	// it had before.
	lowered bool
}

// ObserveEngine applies an update from an engine's agent. A nil update means that the agent
// is unreachable.
func (m *Mirror) ObserveEngine(endpoint string, u *boragewick.EngineUpdate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := m.endpoints[endpoint]
	if entry == nil || !entry.observe(u) {
		return
	}
	if m.Observer == nil || entry.Gone {
		return
	}
	silent, total := m.countSilent()
	m.Observer.Update(m.endpointChange(entry, silent, total))
}

// observe applies an update from the engine's agent and reports whether what it says of
// weights or orders has changed.
func (entry *endpointEntry) observe(u *boragewick.EngineUpdate) bool {
	if u == nil {
		known := len(entry.agent.weights) > 0
		entry.agent = agentReport{}
		return known
	}
	next := entry.agent
	next.down = u.Down
	if len(u.Weights) > 0 {
		next.weights, next.busy = u.Weights, u.Busy
	}
	if !maps.Equal(next.weights, entry.agent.weights) {
		next.lowered = false
		for model, version := range entry.agent.weights {
			next.lowered = next.lowered || next.weights[model] < version
		}
	}
	changed := next.down != entry.agent.down || next.busy != entry.agent.busy || !maps.Equal(next.weights, entry.agent.weights)
	entry.agent = next
	return changed && len(next.weights) > 0
}

// version returns the version of the model that the endpoint has, where known is that of
// the heartbeat or the directive. An agent's report of a version that is not named yet
// doesn't count. The caller holds mu.
func (m *Mirror) version(entry *endpointEntry, model string, known uint64) uint64 {
	reported, ok := entry.agent.weights[model]
	if !ok || entry.agent.down || reported > max(m.weights[model], entry.Weights[model]) || reported < known && !entry.agent.lowered {
		return known
	}
	return reported
}

// isUpgraded reports whether the endpoint's agent reports the newest named version of each
// of its models and no order in progress; the caller holds mu.
func (m *Mirror) isUpgraded(entry *endpointEntry) bool {
	if entry.agent.down || entry.agent.busy {
		return false
	}
	named := false
	for model := range entry.Weights {
		if newest := m.weights[model]; newest > 0 {
			if entry.agent.weights[model] != newest {
				return false
			}
			named = true
		}
	}
	return named
}

// mergeDirective applies the directive if it is newer, and reports whether it is. The caller
// holds mu.
func (m *Mirror) mergeDirective(d *boragewick.Directive) bool {
	if d == nil || !d.Supersedes(m.directive) {
		return false
	}
	m.directive = d
	m.loading = map[string]bool{}
	for _, name := range d.Loading {
		m.loading[name] = true
	}
	m.loadingUntil = m.Clock.Now().Add(m.OrderLease)
	return true
}

// expireLoading returns the endpoints of a directive to service that the leader has not
// renewed. It is called every selectInterval and acts that much earlier, so that OrderLease
// is not exceeded.
func (m *Mirror) expireLoading() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	if m.OrderLease <= 0 || len(m.loading) == 0 || now.Add(selectInterval).Before(m.loadingUntil) {
		return
	}
	_ = level.Warn(m.Logger).Log("msg", "directive not renewed", "endpoints", len(m.loading), "term", m.directive.Term,
		"number", m.directive.Number, "age_ms", (m.OrderLease - m.loadingUntil.Sub(now)).Milliseconds())
	m.loading = nil
	m.publish()
}

// updateService decides whether the endpoint is out of service for an upgrade: while the
// leader's directive says so, and while its agent reports an order in progress that began
// under a directive, but not once it is upgraded. The caller holds mu.
func (m *Mirror) updateService(entry *endpointEntry) {
	ordered := entry.agent.busy && !entry.agent.down
	listed := m.loading[entry.Name]
	upgraded := m.isUpgraded(entry)
	out := (listed || entry.outOfService && ordered) && !upgraded
	if out == entry.outOfService {
		return
	}
	now := m.Clock.Now()
	var outFor time.Duration
	if out {
		entry.outSince = now
	} else {
		outFor = now.Sub(entry.outSince)
	}
	entry.outOfService = out
	_ = level.Info(m.Logger).Log("msg", "service of engine", "endpoint", entry.Name, "out", out, "listed", listed,
		"ordered", ordered, "upgraded", upgraded, "out_ms", outFor.Milliseconds())
}

// OutOfService returns the number of endpoints that are out of service for an upgrade.
func (m *Mirror) OutOfService() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, entry := range m.endpoints {
		if entry.outOfService && !entry.Gone {
			n++
		}
	}
	return n
}
