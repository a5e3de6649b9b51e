package boragewick

// CacheIndex tells what an engine has cached.
type CacheIndex interface {
	// Matched returns the number of leading blocks that are cached.
	Matched(blocks []BlockHash) int
	// Learn notes that the engine is about to hold the blocks.
	Learn(blocks []BlockHash)
}
