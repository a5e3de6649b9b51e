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
