package boragewick

import (
	"bytes"
	"time"
)

// Kind is a kind of configuration object.
type Kind string

// The kinds of configuration objects.
const (
	KindWorkspace Kind = "workspace"
	KindKey       Kind = "key"
	KindRate      Kind = "rate"
	KindRoute     Kind = "route"
)

// Kinds lists the kinds in the order in which objects may refer to each other.
var Kinds = []Kind{KindWorkspace, KindKey, KindRate, KindRoute}

// Object is one object of the configuration. The field that matches its Kind
// is set and the other three are nil.
type Object struct {
	ID        ID         `cbor:"id" json:"id"`
	Kind      Kind       `cbor:"kind" json:"kind"`
	Names     Names      `cbor:"names" json:"names"`
	Revision  uint64     `cbor:"revision" json:"revision"`
	Workspace *Workspace `cbor:"workspace,omitempty" json:"workspace,omitempty"`
	Key       *Key       `cbor:"key,omitempty" json:"key,omitempty"`
	Rate      *Rate      `cbor:"rate,omitempty" json:"rate,omitempty"`
	Route     *Route     `cbor:"route,omitempty" json:"route,omitempty"`
}

// Workspace is a tenant whose callers share keys, a rate and a weight.
type Workspace struct {
	// Weight is the workspace's share in fair queues relative to the others.
	Weight uint32 `cbor:"weight" json:"weight"`
}

// KeyHash is the keyed hash under which a caller's key is stored.
type KeyHash [32]byte

// Key lets callers act for one workspace. The key itself is never stored.
type Key struct {
	Workspace ID      `cbor:"workspace" json:"workspace"`
	Hash      KeyHash `cbor:"hash" json:"-"`
	// Expires is the instant from which the key is refused; zero means never.
	Expires time.Time `cbor:"expires,omitzero" json:"expires,omitzero"`
}

// Rate limits the tokens that a workspace may use across all routers.
type Rate struct {
	Workspace ID `cbor:"workspace" json:"workspace"`
	// TokensPerSecond is the rate at which the allowance refills.
	TokensPerSecond uint64 `cbor:"tokens_per_second" json:"tokens_per_second"`
	// Burst is the largest allowance in tokens.
	Burst uint64 `cbor:"burst" json:"burst"`
}

// Route routes requests to the endpoints of one pool.
type Route struct {
	// Model is the model name that callers ask for; empty on plain routes.
	Model string `cbor:"model,omitempty" json:"model,omitempty"`
	// Prefix is the URL path prefix of a plain route; empty on model routes.
	Prefix string `cbor:"prefix,omitempty" json:"prefix,omitempty"`
	// Pool names the endpoints that serve the route.
	Pool string `cbor:"pool" json:"pool"`
	// Weights is the version of the model weights that requests need.
	Weights string `cbor:"weights,omitempty" json:"weights,omitempty"`
	// Adapter is the adapter that requests need.
	Adapter string `cbor:"adapter,omitempty" json:"adapter,omitempty"`
	// NextWeights and NextAdapter replace Weights and Adapter once enough
	// endpoints have loaded them; an empty NextWeights means no change.
	NextWeights string `cbor:"next_weights,omitempty" json:"next_weights,omitempty"`
	NextAdapter string `cbor:"next_adapter,omitempty" json:"next_adapter,omitempty"`
	// Repeatable reports whether a request may be run again after a failure.
	Repeatable bool `cbor:"repeatable" json:"repeatable"`
	// Open reports whether callers need no key.
	Open bool `cbor:"open" json:"open"`
	// Workspaces may use the route; empty means that every workspace may.
	Workspaces []ID `cbor:"workspaces,omitempty" json:"workspaces,omitempty"`
}

// Compare orders key hashes.
func (h KeyHash) Compare(other KeyHash) int {
	return bytes.Compare(h[:], other[:])
}

// Allows reports whether the workspace may use the route.
func (r *Route) Allows(workspace ID) bool {
	if len(r.Workspaces) == 0 {
		return true
	}
	for _, id := range r.Workspaces {
		if id == workspace {
			return true
		}
	}
	return false
}
