package boragewick

// CacheChange is what a cache event tells of its blocks.
type CacheChange string

// The changes of a prefix cache.
const (
	// CacheStored means that the blocks can be used from now on.
	CacheStored CacheChange = "stored"
	// CacheRemoved means that the blocks were evicted.
	CacheRemoved CacheChange = "removed"
	// CacheCleared means that no block is left.
	CacheCleared CacheChange = "cleared"
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	// Epoch is the run of the engine; a new one starts with an empty cache.
	Epoch Incarnation `json:"epoch"`
	// Sequence counts the events of one epoch from 1 without gaps at the engine.
	Sequence uint64      `json:"sequence"`
	Change   CacheChange `json:"change,omitempty"`
	Blocks   BlockList   `json:"blocks,omitempty"`
}

// CacheListing is everything that an engine's prefix cache holds at one
// sequence number.
type CacheListing struct {
	Epoch    Incarnation `json:"epoch"`
	Sequence uint64      `json:"sequence"`
	Blocks   BlockList   `json:"blocks"`
}

// CacheSink follows an engine's prefix cache.
type CacheSink interface {
	// Event applies one event and reports whether the sink is still whole. A
	// sink that has missed an event or sees a new epoch returns false and
	// needs a listing.
	Event(e CacheEvent) bool
	// Listing replaces what the sink knows.
	Listing(l CacheListing)
	// Lost tells that the engine can't be reached: what is known may be stale.
	Lost()
}
