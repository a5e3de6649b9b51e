package boragewick

// BlockTokens is the number of estimated tokens in one block of a prompt.
const BlockTokens = 64

// BytesPerToken is the estimated number of bytes of prompt text in a token.
const BytesPerToken = 4

// BlockHash identifies a block together with all blocks before it and the
// PrefixSeed, so that equal hashes mean equal prefixes.
type BlockHash uint64

// PrefixSeed separates the cache entries that must never be shared.
type PrefixSeed struct {
	Workspace ID
	Model     Model
}

// CacheEpoch identifies one lifetime of an engine's cache. Nothing from an
// earlier epoch is valid in a later one.
type CacheEpoch struct {
	// Engine is the run of the engine.
	Engine Incarnation `cbor:"engine"`
	// Weights is the version of the weights that the engine has loaded.
	Weights string `cbor:"weights"`
}

// CacheEventKind is the kind of a change to blocks in an engine's cache.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheRemoved CacheEventKind = "removed"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is one change of an engine's cache.
type CacheEvent struct {
	Epoch CacheEpoch `cbor:"epoch"`
	// Number counts the events of the epoch from 1 without gaps.
	Number uint64         `cbor:"number"`
	Kind   CacheEventKind `cbor:"kind"`
	// Blocks are those stored or removed; none for CacheCleared.
	Blocks []BlockHash `cbor:"blocks,omitempty"`
}

// CacheListing is the full content of an engine's cache after an event.
type CacheListing struct {
	Epoch  CacheEpoch  `cbor:"epoch"`
	Number uint64      `cbor:"number"`
	Blocks []BlockHash `cbor:"blocks"`
}
