package boragewick

import "github.com/zeebo/xxh3"

// CachedPartKey returns the key of a prompt part within a cache scope. Scopes
// separate cached parts that must not be shared.
func CachedPartKey(scope, id string) uint64 {
	return xxh3.HashStringSeed(id, xxh3.HashString(scope))
}
