package registry

import (
	"slices"

	"github.com/boragewick/boragewick"
)

// maxDepartures is the number of departures that are kept, the newest ones.
const maxDepartures = 1 << 13

// run identifies a run of an endpoint.
type run struct {
	endpoint string
	started  int64
}

// HasDeparted reports whether the log has the departure of the run of the endpoint.
func (r *Registry) HasDeparted(endpoint string, started int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.departed[run{endpoint, started}]
}

// Departures returns the departures with higher numbers, which must not be changed.
func (r *Registry) Departures(after uint64) []boragewick.EndpointDeparture {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.state.Departures
	if len(list) == 0 || list[len(list)-1].Number <= after {
		return nil
	}
	// The numbers have no gaps.
	if first := list[0].Number; after >= first {
		list = list[after+1-first:]
	}
	return slices.Clip(list)
}

// applyDeparture records a departure and reports whether it is new. The list is copied
// where an entry is dropped, because callers of State may still be reading the old one. The
// caller holds mu.
func (r *Registry) applyDeparture(d boragewick.EndpointDeparture) bool {
	key := run{d.Endpoint, d.Started}
	if r.departed[key] {
		return false
	}
	list := r.state.Departures
	d.Number = 1
	if n := len(list); n > 0 {
		d.Number = list[n-1].Number + 1
	}
	if len(list) >= maxDepartures {
		delete(r.departed, run{list[0].Endpoint, list[0].Started})
		list = slices.Clone(list[1:])
	}
	r.state.Departures = append(list, d)
	if r.departed == nil {
		r.departed = map[run]bool{}
	}
	r.departed[key] = true
	return true
}

// indexDepartures indexes the departures of a restored state; the caller holds mu.
func (r *Registry) indexDepartures() {
	r.departed = map[run]bool{}
	for _, d := range r.state.Departures {
		r.departed[run{d.Endpoint, d.Started}] = true
	}
}
