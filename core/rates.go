package core

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// grant answers a router's request for a share of a workspace's rate. Only a
// leader with a lease answers, so that there is one owner at a time.
func (c *Core) grant(ctx context.Context, r boragewick.GrantRequest) (boragewick.Grant, error) {
	if !c.syncRates(ctx) {
		return boragewick.Grant{}, errors.Wrap(boragewick.ErrNotLeader, "rates are granted by the leader")
	}
	return c.Rates.Grant(ctx, r)
}

// syncRates starts or stops the ledger if this replica has gained or lost the
// leader's lease since the last call, and applies the rates in force. It reports
// whether this replica owns the rates.
func (c *Core) syncRates(ctx context.Context) bool {
	if c.Replica == nil {
		return false
	}
	st := c.Replica.Status()
	c.ratesMu.Lock()
	defer c.ratesMu.Unlock()
	ownsRates := !c.ratesEnded && st.Leading && st.LeaseUntil.After(c.Clock.Now())
	if ownsRates && !c.ownsRates {
		if err := c.Replica.Barrier(ctx); err != nil {
			return false
		}
		state, _ := c.Registry.State()
		workspaces := c.setRates(state.Publication)
		c.Rates.Start(state.Changed == 0, workspaces...)
	}
	if !ownsRates && c.ownsRates {
		c.Rates.Stop()
	}
	c.ownsRates = ownsRates
	if state, _ := c.Registry.State(); ownsRates && state.Publication.Version != c.ratesVersion {
		c.setRates(state.Publication)
	}
	return ownsRates
}

// endRates makes this replica grant nothing any more, so that another one may own the rates.
func (c *Core) endRates() {
	c.ratesMu.Lock()
	defer c.ratesMu.Unlock()
	c.ratesEnded = true
	if c.ownsRates {
		c.Rates.Stop()
		c.ownsRates = false
	}
}

// setRates passes the rates of a publication to the ledger and returns the
// workspaces that have a rate; the caller holds ratesMu.
func (c *Core) setRates(p boragewick.Publication) []boragewick.ID {
	if p.Version == 0 {
		return nil
	}
	table, err := c.Decoder.DecodeTable(p.Document)
	if err != nil {
		return nil // Publish rejects such documents
	}
	var rates []boragewick.Rate
	var workspaces []boragewick.ID
	for i := range table.Workspaces {
		t := &table.Workspaces[i]
		if t.PerSecond == 0 {
			continue
		}
		id := boragewick.ID(t.Name)
		rates = append(rates, boragewick.Rate{Workspace: id, TokensPerSecond: t.PerSecond, Burst: t.Burst + c.BurstSlack})
		workspaces = append(workspaces, id)
	}
	c.Rates.SetRates(rates)
	c.ratesVersion = p.Version
	return workspaces
}
