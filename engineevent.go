package boragewick

// EngineEvent is one change of an engine's prefix cache as the engine publishes it.
type EngineEvent struct {
	// Epoch identifies the run of the engine; a new one starts with an empty
	// cache.
	Epoch Incarnation `json:"epoch"`
	// Sequence numbers the events of one epoch from 1; the engine leaves no gaps.
	Sequence uint64         `json:"sequence"`
	Change   CacheEventKind `json:"change,omitempty"`
	Blocks   BlockList      `json:"blocks,omitempty"`
}

// EngineListing is the full content of an engine's prefix cache at one sequence
// number.
type EngineListing struct {
	Epoch    Incarnation `json:"epoch"`
	Sequence uint64      `json:"sequence"`
	Blocks   BlockList   `json:"blocks"`
}

// CacheSink mirrors the content of an engine's prefix cache.
type CacheSink interface {
	// Reset empties the sink if the epoch is new, and reports whether it was.
	Reset(epoch CacheEpoch) bool
	// Apply applies an event and reports whether a listing is needed.
	Apply(e CacheEvent) bool
	// Replace replaces the content with a listing and reports whether another
	// one is needed.
	Replace(l CacheListing) bool
}

// PrefixCache is an agent's view of its engine's prefix cache.
type PrefixCache interface {
	CacheSink
	// Matched returns the number of leading blocks that are cached.
	Matched(blocks []BlockHash) int
	// PresumeCached records that the engine computes the blocks or has just
	// done so. The slice must not be changed afterwards.
	PresumeCached(blocks []BlockHash)
}
