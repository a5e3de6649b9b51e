package boragewick

import "net/netip"

// EngineUpdate is a change in an engine's state as observed by its agent.
type EngineUpdate struct {
	// Reset reports whether everything that was cached before is gone.
	Reset bool `cbor:"1,keyasint,omitempty"`
	// Parts are the cached parts of prompts that have changed.
	Parts []CachedPart `cbor:"2,keyasint,omitempty"`
	// Queued, Active and Prefilling count requests; prefilling ones are active
	// and have produced no token.
	Queued     int `cbor:"3,keyasint"`
	Active     int `cbor:"4,keyasint"`
	Prefilling int `cbor:"5,keyasint"`
	// Used and Total are cache memory in tokens; Used can't be evicted.
	Used  int `cbor:"6,keyasint"`
	Total int `cbor:"7,keyasint"`
	// Down reports whether the engine doesn't answer its agent.
	Down bool `cbor:"8,keyasint,omitempty"`
	// Weights is the version of the weights of each model that the engine has. Busy
	// reports whether an order is in progress, and Orders counts the accepted ones. If
	// Weights is empty, all three are as in the stream's last update with Weights, or
	// unknown if there was none, as from agents of earlier versions.
	Weights map[string]uint64 `cbor:"9,keyasint,omitempty"`
	Busy    bool              `cbor:"10,keyasint,omitempty"`
	Orders  uint64            `cbor:"11,keyasint,omitempty"`
	// Started is that of the Registration of the engine's run, as Weights are of it; zero if the
	// engine doesn't tell.
	Started int64 `cbor:"12,keyasint,omitempty"`
}

// CachedPart is the state of a prompt part in an engine's cache.
type CachedPart struct {
	// Key is CachedPartKey of the part.
	Key uint64 `cbor:"1,keyasint"`
	// Tokens is the number of its tokens that are cached now; zero if none are.
	Tokens int `cbor:"2,keyasint"`
}

// EngineEvents is a batch of changes of an engine's cache.
type EngineEvents struct {
	// Epoch changes with each start of the engine.
	Epoch int64
	// Next is the position after which the next batch starts.
	Next int64
	// Lost reports whether some changes are missing.
	Lost  bool
	Parts []CachedPart
}

// EnginesRequest asks an agent for the updates of several engines, which it follows
// through their agents.
type EnginesRequest struct {
	Instance string `cbor:"1,keyasint"`
	// Agents are the link addresses of the engines' agents.
	Agents []netip.AddrPort `cbor:"2,keyasint"`
	// OrdersOnly is that of WatchRequest.
	OrdersOnly bool `cbor:"3,keyasint,omitempty"`
}

// EnginesUpdate holds changes of several engines.
type EnginesUpdate struct {
	Engines []IndexedEngineUpdate `cbor:"1,keyasint,omitempty"`
}

// IndexedEngineUpdate is the change of one of the engines of an EnginesRequest.
type IndexedEngineUpdate struct {
	// Agent is the index of the engine's agent in the request.
	Agent int `cbor:"1,keyasint"`
	// Lost reports whether the agent can't be reached; Update is empty then.
	Lost   bool         `cbor:"2,keyasint,omitempty"`
	Update EngineUpdate `cbor:"3,keyasint"`
}

// StoreRequest asks a control replica for the content of a store and for every
// change of it.
type StoreRequest struct {
	Instance string         `cbor:"1,keyasint"`
	Store    netip.AddrPort `cbor:"2,keyasint"`
}

// Methods that stream EngineUpdates to a router: those of an agent's engine, and
// those of a store, which carry no load. MethodEngines streams EnginesUpdates.
const (
	MethodEngine  = "engine"
	MethodStore   = "store"
	MethodEngines = "engines"
)
