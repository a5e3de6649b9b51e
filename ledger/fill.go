package ledger

import (
	"maps"
	"time"

	"github.com/boragewick/boragewick"
)

// fill gives a workspace that has never had a grant its whole burst.
func (a *account) fill() {
	a.reserved = 0
	a.reservedUntil = a.at
	a.level = a.burst
}

// open lets a part of what is reserved for grants of an earlier owner be granted.
func (a *account) open(tokens uint64) {
	n := min(tokens*microsPerToken, a.reserved)
	a.reserved -= n
	a.level += n
}

// forget drops the holders that have had nothing for a long time.
func (a *account) forget(now time.Time) {
	maps.DeleteFunc(a.holders, func(_ boragewick.Incarnation, h *holder) bool {
		return h.held == 0 && h.least == 0 && now.Sub(h.expires) >= forgetAfter
	})
}
