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

// CacheSink follows an engine's prefix cache.
type CacheSink interface {
	// Reset empties the sink when the epoch is a new one, and reports whether
	// it was.
	Reset(epoch CacheEpoch) bool
	// Apply takes in an event and reports whether a listing is needed.
	Apply(e CacheEvent) bool
	// Repair replaces the content by a listing and reports whether another one
	// is needed.
	Repair(l CacheListing) bool
}

// PrefixCache is what an agent knows of its engine's prefix cache.
type PrefixCache interface {
	CacheSink
	// Matched returns the number of leading blocks that are cached.
	Matched(blocks []BlockHash) int
	// Learn tells that the engine computes the blocks or has just done so. They
	// must not be changed afterwards.
	Learn(blocks []BlockHash)
}
