package state

import (
	"slices"

	"github.com/boragewick/boragewick"
)

func (m *Machine) announce(e boragewick.Endpoint) boragewick.Result {
	if m.endpoints == nil {
		m.endpoints = map[string]boragewick.Endpoint{}
	}
	if old, ok := m.endpoints[e.Name]; ok && sameEndpoint(&old, &e) {
		return boragewick.Result{}
	}
	m.endpoints[e.Name] = e
	m.appendUpdate(boragewick.Update{Endpoints: []boragewick.Endpoint{e}})
	return boragewick.Result{}
}

func (m *Machine) depart(d *boragewick.Departure) boragewick.Result {
	e, ok := m.endpoints[d.Name]
	if !ok || e.Incarnation != d.Incarnation {
		return boragewick.Result{}
	}
	delete(m.endpoints, d.Name)
	m.appendUpdate(boragewick.Update{Departed: []string{d.Name}})
	return boragewick.Result{}
}

func sameEndpoint(a, b *boragewick.Endpoint) bool {
	return a.Agent == b.Agent &&
		a.Pool == b.Pool &&
		a.Kind == b.Kind &&
		a.FailureDomain == b.FailureDomain &&
		a.Region == b.Region &&
		a.Incarnation == b.Incarnation &&
		a.Leaving == b.Leaving &&
		slices.Equal(a.Models, b.Models)
}

// HasEndpoint reports whether announcing the endpoint would leave the directory
// unchanged.
func (m *Machine) HasEndpoint(e *boragewick.Endpoint) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	old, ok := m.endpoints[e.Name]
	return ok && sameEndpoint(&old, e)
}
