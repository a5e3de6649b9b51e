package boragewick

// EngineEvent is one change of an engine's prefix cache as the engine publishes it.
type EngineEvent struct {
	// Epoch is the run of the engine; a new one starts with an empty cache.
	Epoch Incarnation `json:"epoch"`
	// Sequence counts the events of one epoch from 1 without gaps at the engine.
	Sequence uint64         `json:"sequence"`
	Change   CacheEventKind `json:"change,omitempty"`
	Blocks   BlockList      `json:"blocks,omitempty"`
}

// EngineListing is everything that an engine's prefix cache holds at one
// sequence number.
type EngineListing struct {
	Epoch    Incarnation `json:"epoch"`
	Sequence uint64      `json:"sequence"`
	Blocks   BlockList   `json:"blocks"`
}

// EngineSink follows an engine's prefix cache.
type EngineSink interface {
	// Event applies one event and reports whether the sink is still whole. A
	// sink that has missed an event or sees a new epoch returns false and
	// needs a listing.
	Event(e EngineEvent) bool
	// Listing replaces what the sink knows.
	Listing(l EngineListing)
	// Lost tells that the engine can't be reached: what is known may be stale.
	Lost()
}
