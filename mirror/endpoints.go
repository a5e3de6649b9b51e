package mirror

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

// endpointEntry is an endpoint's newest registration.
type endpointEntry struct {
	boragewick.Registration
	goneAt time.Time
	// runKnownAt is when this router learned of the endpoint's run.
	runKnownAt time.Time
	agent      agentReport
	// outOfService reports whether it is out of service for an upgrade, since outSince.
	outOfService bool
	outSince     time.Time
}

// Usable returns the number of endpoints that accept new work.
func (m *Mirror) Usable() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for name, entry := range m.endpoints {
		if !entry.Gone && !entry.Leaving && !m.isSilent(name) {
			n++
		}
	}
	return n
}

// mergeEndpoint stores a registration if it is newer, that the endpoint is leaving or
// gone in any case, and whether the replica reports it as silent. It reports whether the
// endpoint may have changed.
func (m *Mirror) mergeEndpoint(addr netip.AddrPort, r *boragewick.Registration) bool {
	if !boragewick.IsEndpointName(r.Name) {
		return false // from a replica of an earlier version
	}
	m.reportedSilent[addr][r.Name] = r.Silent
	if m.departures.has(r) {
		r.Leaving = true
	}
	entry := m.endpoints[r.Name]
	if entry == nil {
		entry = &endpointEntry{}
		m.endpoints[r.Name] = entry
	} else if !r.Supersedes(&entry.Registration) {
		if !entry.AdoptDeparture(r) {
			return entry.Silent != r.Silent
		}
		m.recordEndpoint(entry)
		return true
	}
	isNew := entry.Name == ""
	if isNew || entry.Started != r.Started {
		entry.runKnownAt = m.Clock.Now()
	}
	next := *r
	next.AdoptDeparture(&entry.Registration)
	entry.Registration = next
	if isNew || entry.Leaving || entry.Gone {
		m.recordEndpoint(entry)
	}
	return true
}

// recordEndpoint logs an endpoint that is new, leaving or gone, and records since when it
// is gone.
func (m *Mirror) recordEndpoint(entry *endpointEntry) {
	if entry.Gone {
		entry.goneAt = m.Clock.Now()
	}
	_ = level.Info(m.Logger).Log("msg", "endpoint", "endpoint", entry.Name, "pool", entry.Pool, "addr", entry.Addr,
		"build", entry.Build, "software", entry.Software, "leaving", entry.Leaving, "gone", entry.Gone, "number", entry.Number)
}

// endpointChanges lists the current state of all endpoints; the caller holds mu.
func (m *Mirror) endpointChanges() []boragewick.EndpointChange {
	now := m.Clock.Now()
	silent, total := m.countSilent()
	var list []boragewick.EndpointChange
	for name, entry := range m.endpoints {
		if entry.Gone && now.Sub(entry.goneAt) > goneRetention {
			delete(m.endpoints, name)
		}
		list = append(list, m.endpointChange(entry, silent, total))
	}
	return list
}

// endpointChange returns the current state of an endpoint. silent and total are those of
// countSilent. The caller holds mu.
func (m *Mirror) endpointChange(entry *endpointEntry, silent, total map[string]int) boragewick.EndpointChange {
	m.updateService(entry)
	e := m.toEndpoint(entry)
	// If most endpoints of a pool are silent, heartbeats are being lost rather
	// than endpoints.
	lost := m.isSilent(entry.Name) && 2*silent[entry.Pool] <= total[entry.Pool]
	e.Leaving = entry.Leaving || entry.outOfService || lost
	return boragewick.EndpointChange{Endpoint: e, Removed: entry.Gone, Departing: entry.Leaving}
}

// countSilent counts, for each pool, its silent endpoints and all of its endpoints;
// the caller holds mu.
func (m *Mirror) countSilent() (silent, total map[string]int) {
	silent, total = map[string]int{}, map[string]int{}
	for name, entry := range m.endpoints {
		if entry.Gone {
			continue
		}
		total[entry.Pool]++
		if m.isSilent(name) {
			silent[entry.Pool]++
		}
	}
	return silent, total
}

// toEndpoint returns the endpoint in the form that selectors use; the caller holds mu.
func (m *Mirror) toEndpoint(entry *endpointEntry) boragewick.Endpoint {
	var loaded map[string]uint64
	if m.directive != nil {
		loaded = m.directive.Loaded[entry.Name]
	}
	e := boragewick.Endpoint{
		Name:          entry.Name,
		Agent:         entry.Addr,
		Pool:          entry.Pool,
		Kind:          boragewick.EndpointPlain,
		FailureDomain: entry.Domain,
		Incarnation:   boragewick.Incarnation(strconv.FormatInt(entry.Started, 10)),
		Build:         entry.Build,
	}
	for model, version := range entry.Weights {
		e.Kind = boragewick.EndpointModel
		version = m.version(entry, model, max(version, loaded[model]))
		e.Models = append(e.Models, boragewick.Model{Name: model, Weights: strconv.FormatUint(version, 10)})
	}
	slices.SortFunc(e.Models, func(a, b boragewick.Model) int { return strings.Compare(a.Name, b.Name) })
	return e
}

// isSilent reports whether at least one followed replica has sent the endpoint and
// all that have report it as silent; the caller holds mu.
func (m *Mirror) isSilent(name string) bool {
	found := false
	for _, endpoints := range m.reportedSilent {
		silent, ok := endpoints[name]
		if ok && !silent {
			return false
		}
		found = found || ok
	}
	return found
}
