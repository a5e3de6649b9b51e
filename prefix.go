package boragewick

// BlockTokens is the number of estimated tokens in one block of a prompt.
const BlockTokens = 64

// BytesPerToken is the estimate of a token's length in bytes of prompt text.
const BytesPerToken = 4

// BlockHash identifies a block together with all blocks before it and the
// PrefixSeed, so that equal hashes mean equal prefixes.
type BlockHash uint64

// PrefixSeed separates the cache entries that must never be shared.
type PrefixSeed struct {
	Workspace ID
	Model     Model
}

// CacheEpoch names one life of an engine's cache. Nothing of an earlier epoch
// counts in a later one.
type CacheEpoch struct {
	// Engine is the run of the engine.
	Engine Incarnation `cbor:"engine"`
	// Weights is the version of the weights that the engine has loaded.
	Weights string `cbor:"weights"`
}

// CacheEventKind tells what happened to blocks in an engine's cache.
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
	// Number counts the events of the epoch from 1 without holes.
	Number uint64         `cbor:"number"`
	Kind   CacheEventKind `cbor:"kind"`
	// Blocks are those stored or removed; none for CacheCleared.
	Blocks []BlockHash `cbor:"blocks,omitempty"`
}

// CacheListing is everything that an engine has cached after an event.
type CacheListing struct {
	Epoch  CacheEpoch  `cbor:"epoch"`
	Number uint64      `cbor:"number"`
	Blocks []BlockHash `cbor:"blocks"`
}
