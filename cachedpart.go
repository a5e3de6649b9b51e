package boragewick

import "github.com/zeebo/xxh3"

// CachedPartKey identifies a part of a prompt within the scope that keeps cached
// parts apart.
func CachedPartKey(scope, id string) uint64 {
	return xxh3.HashStringSeed(id, xxh3.HashString(scope))
}
