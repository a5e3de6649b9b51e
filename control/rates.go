package control

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/catalogue"
)

// firstTerm is the term of the first leader that a group ever had.
const firstTerm = 1

// grant answers a router's request for a share of a workspace's rate. Only a
// leader with a lease answers, so that there is one owner at a time.
func (c *Control) grant(ctx context.Context, r boragewick.GrantRequest) (boragewick.Grant, error) {
	if !c.ownRates(ctx) {
		return boragewick.Grant{}, errors.Wrap(boragewick.ErrNotLeader, "rates are granted by the leader")
	}
	return c.Rates.Grant(ctx, r)
}

// ownRates makes the ledger follow the leadership and the rates in force. It
// reports whether this replica owns the rates.
func (c *Control) ownRates(ctx context.Context) bool {
	st := c.Log.Status()
	owning := st.Leading && st.LeaseUntil.After(c.Clock.Now())
	c.ratesMu.Lock()
	defer c.ratesMu.Unlock()
	if owning && !c.owning && !c.startOwning(ctx, st.Term) {
		return false
	}
	if !owning && c.owning {
		c.Rates.Stop()
	}
	c.owning = owning
	if r := c.State.Revision(); owning && r != c.ratesAt {
		c.Rates.SetRates(c.rates())
		c.ratesAt = r
	}
	return owning
}

// startOwning starts the ledger once all that earlier leaders committed has
// been applied here, so that no workspace of theirs passes for a new one.
func (c *Control) startOwning(ctx context.Context, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, sweepInterval)
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
	c.Rates.Start(term == firstTerm && !c.owned, workspaces...)
	c.owned = true
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
