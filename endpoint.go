package boragewick

import (
	"net/netip"
	"time"
)

// EndpointKind is the kind of server behind an agent.
type EndpointKind string

// The kinds of endpoints.
const (
	EndpointModel EndpointKind = "model"
	EndpointPlain EndpointKind = "plain"
)

// Endpoint describes one endpoint as its agent announces it.
type Endpoint struct {
	// Name is the instance name from the settings.
	Name string `cbor:"name" json:"name"`
	// Agent is the address at which the agent accepts work.
	Agent netip.AddrPort `cbor:"agent" json:"agent"`
	// Pool is the pool of the endpoint, by which routes refer to it.
	Pool string       `cbor:"pool" json:"pool"`
	Kind EndpointKind `cbor:"kind" json:"kind"`
	// FailureDomain and Region are the location of the instance.
	FailureDomain string `cbor:"failure_domain" json:"failure_domain"`
	Region        string `cbor:"region" json:"region"`
	// Weight is the endpoint's capacity relative to the others; zero counts as 1.
	Weight uint32 `cbor:"weight,omitempty" json:"weight,omitempty"`
	// Models lists the models that a model endpoint serves.
	Models []Model `cbor:"models,omitempty" json:"models,omitempty"`
	// Incarnation changes with every start of the agent.
	Incarnation Incarnation `cbor:"incarnation" json:"incarnation"`
	// Leaving reports whether the endpoint has stopped accepting new work.
	Leaving bool `cbor:"leaving,omitempty" json:"leaving,omitempty"`
	// Build identifies the endpoint's software.
	Build Build `cbor:"build,omitempty" json:"build,omitempty"`
}

// Model identifies a model as loaded by an engine: with its weights and adapter.
type Model struct {
	Name    string `cbor:"name" json:"name"`
	Weights string `cbor:"weights" json:"weights"`
	Adapter string `cbor:"adapter,omitempty" json:"adapter,omitempty"`
}

// Lease limits how long an announcement is valid unless it is renewed.
type Lease struct {
	Expires time.Time `cbor:"expires" json:"expires"`
	// Newest is the Fencing of the newest order to the endpoint.
	Newest Fencing `cbor:"newest" json:"newest"`
}

// Serves reports whether the endpoint can take requests of the route.
func (e *Endpoint) Serves(r *Route) bool {
	if e.Leaving || e.Pool != r.Pool {
		return false
	}
	if r.Model == "" {
		return e.Kind == EndpointPlain
	}
	for _, m := range e.Models {
		if m.Name == r.Model && m.Weights == r.Weights && m.Adapter == r.Adapter {
			return true
		}
	}
	return false
}

// RunID identifies the current run of the endpoint.
func (e *Endpoint) RunID() ID { return ID(e.Name + "\x00" + string(e.Incarnation)) }
