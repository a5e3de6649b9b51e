package boragewick

import "net/netip"

// EngineUpdate is what has changed at an engine as the agent beside it sees it.
type EngineUpdate struct {
	// Reset tells that all that was cached before is gone.
	Reset bool `cbor:"1,keyasint,omitempty"`
	// Parts are the cached parts of prompts that have changed.
	Parts []CachedPart `cbor:"2,keyasint,omitempty"`
	// Queued, Active and Prefilling count requests; Prefilling ones are active
	// and have had no token.
	Queued     int `cbor:"3,keyasint"`
	Active     int `cbor:"4,keyasint"`
	Prefilling int `cbor:"5,keyasint"`
	// Used and Total are tokens of memory; Used can't be given up.
	Used  int `cbor:"6,keyasint"`
	Total int `cbor:"7,keyasint"`
	// Down tells that the engine doesn't answer the agent beside it.
	Down bool `cbor:"8,keyasint,omitempty"`
}

// CachedPart is a part of a prompt as an engine has it cached.
type CachedPart struct {
	// Key is CachedPartKey of the part.
	Key uint64 `cbor:"1,keyasint"`
	// Tokens is how much of it is cached now; zero when nothing is.
	Tokens int `cbor:"2,keyasint"`
}

// EngineEvents is a batch of changes of an engine's cache.
type EngineEvents struct {
	// Epoch changes with each start of the engine.
	Epoch int64
	// Next is the position after which the next batch goes on.
	Next int64
	// Lost tells that some changes are missing.
	Lost  bool
	Parts []CachedPart
}

// StoreRequest asks a control replica for all that a store keeps and for every
// change of it.
type StoreRequest struct {
	Instance string         `cbor:"1,keyasint"`
	Store    netip.AddrPort `cbor:"2,keyasint"`
}

// Methods that stream EngineUpdates to a router: those of the engine beside an
// agent, and those of a store, which have no load.
const (
	MethodEngine = "engine"
	MethodStore  = "store"
)
