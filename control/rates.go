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
	if !c.ownRates() {
		return boragewick.Grant{}, errors.Wrap(boragewick.ErrNotLeader, "rates are granted by the leader")
	}
	return c.Rates.Grant(ctx, r)
}

// ownRates makes the ledger follow the leadership and the rates in force. It
// reports whether this replica owns the rates.
func (c *Control) ownRates() bool {
	st := c.Log.Status()
	owning := st.Leading && st.LeaseUntil.After(c.Clock.Now())
	c.ratesMu.Lock()
	defer c.ratesMu.Unlock()
	if owning != c.owning {
		c.owning = owning
		if owning {
			c.Rates.Start(st.Term == firstTerm && !c.owned)
			c.owned = true
		} else {
			c.Rates.Stop()
		}
	}
	if r := c.State.Revision(); owning && r != c.ratesAt {
		c.Rates.SetRates(c.rates())
		c.ratesAt = r
	}
	return owning
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
