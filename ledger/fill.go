package ledger

import (
	"maps"
	"time"

	"github.com/boragewick/boragewick"
)

// fill gives a workspace that has never had a grant its whole burst.
func (a *account) fill() {
	a.reserved = 0
	a.reservedUntil = a.updatedAt
	a.level = a.burst
	a.fallback.adoptUntil = a.updatedAt
}

// unreserve moves tokens from the reserve for an earlier owner's grants to the
// level.
func (a *account) unreserve(tokens uint64) {
	n := min(tokens*microsPerToken, a.reserved)
	a.reserved -= n
	a.level += n
}

// evictIdleHolders drops holders that hold and wait for nothing and whose last
// grant ended at least holderRetention ago.
func (a *account) evictIdleHolders(now time.Time) {
	maps.DeleteFunc(a.holders, func(_ boragewick.Incarnation, h *holder) bool {
		return h.held == 0 && h.queuedTokens == 0 && now.Sub(h.expires) >= holderRetention
	})
}
