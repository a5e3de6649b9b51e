package control

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/catalogue"
)

// firstTerm is the term of a group's first leader.
const firstTerm = 1

// grant answers a router's request for a share of a workspace's rate. Only a
// leader with a lease answers, so that there is one owner at a time.
func (c *Control) grant(ctx context.Context, r boragewick.GrantRequest) (boragewick.Grant, error) {
	if !c.updateRateOwnership(ctx) {
		return boragewick.Grant{}, errors.Wrap(boragewick.ErrNotLeader, "rates are granted by the leader")
	}
	return c.Rates.Grant(ctx, r)
}

// updateRateOwnership starts or stops the ledger according to the leadership and
// passes it the rates in force. It reports whether this replica owns the rates.
func (c *Control) updateRateOwnership(ctx context.Context) bool {
	st := c.Log.Status()
	ownsRates := st.Leading && st.LeaseUntil.After(c.Clock.Now())
	c.ratesMu.Lock()
	defer c.ratesMu.Unlock()
	if ownsRates && !c.ownsRates && !c.startLedger(ctx, st.Term) {
		return false
	}
	if !ownsRates && c.ownsRates {
		c.Rates.Stop()
	}
	c.ownsRates = ownsRates
	if r := c.State.Revision(); ownsRates && r != c.ratesRevision {
		c.Rates.SetRates(c.rates())
		c.ratesRevision = r
	}
	return ownsRates
}

// startLedger starts the ledger once all entries that earlier leaders committed
// have been applied here, so that none of their workspaces is taken for a new
// one.
func (c *Control) startLedger(ctx context.Context, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, maintenanceInterval)
	defer cancel()
	if err := c.Log.Barrier(ctx); err != nil {
		return false
	}
	var workspaces []boragewick.ID
	c.State.View(func(cat *catalogue.Catalogue) {
		for _, o := range cat.All(boragewick.KindWorkspace) {
			workspaces = append(workspaces, o.ID)
		}
	})
	c.Rates.Start(term == firstTerm && !c.ownedRatesBefore, workspaces...)
	c.ownedRatesBefore = true
	return true
}

func (c *Control) rates() []boragewick.Rate {
	var list []boragewick.Rate
	c.State.View(func(cat *catalogue.Catalogue) {
		for _, o := range cat.All(boragewick.KindRate) {
			list = append(list, *o.Rate)
		}
	})
	return list
}
