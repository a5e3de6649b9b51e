package state

import (
	"time"

	"github.com/boragewick/boragewick"
)

func (m *Machine) claim(c *boragewick.Claim, at time.Time) boragewick.Result {
	r, err := m.claims.Claim(at, *c)
	if err != nil {
		return faultResult(err)
	}
	return boragewick.Result{Claim: &r}
}

func (m *Machine) settle(s *boragewick.Settlement, at time.Time) boragewick.Result {
	record, err := m.claims.Settle(at, *s)
	if err != nil {
		return faultResult(err)
	}
	return boragewick.Result{Claim: &boragewick.ClaimResult{Record: record}}
}
