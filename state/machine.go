// Package state implements the state machine of the replicated log: the
// configuration, its plans and decisions, the directory of endpoints and the
// claims of unrepeatable requests.
package state

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/catalogue"
	"github.com/boragewick/boragewick/claims"
)

// Machine implements boragewick.StateMachine. The zero value is empty. Its
// read methods may be called concurrently with one goroutine that applies
// entries.
type Machine struct {
	mu              sync.RWMutex
	appliedRevision boragewick.Revision
	// updateRevision is the revision of the last update.
	updateRevision boragewick.Revision
	catalogue      catalogue.Catalogue
	plans          map[boragewick.ID]*boragewick.Plan
	decisions      decisionLog
	history        map[boragewick.ID][]boragewick.History
	endpoints      map[string]boragewick.Endpoint
	claims         claims.Claims
	updates        updateLog
	// orders holds the newest order for each endpoint and rollouts the state of
	// each route's rollout.
	orders   map[string]boragewick.OrderRecord
	rollouts map[boragewick.ID]boragewick.Rollout
}

// Apply implements boragewick.StateMachine. It returns a CBOR-encoded Result.
func (m *Machine) Apply(e boragewick.Entry) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.appliedRevision = e.Revision
	result := m.apply(e)
	b, err := boragewick.Encode(result)
	if err != nil {
		f := boragewick.FaultOf(err)
		b, _ = boragewick.Encode(boragewick.Result{Fault: &f})
	}
	return b
}

func (m *Machine) apply(e boragewick.Entry) boragewick.Result {
	if len(e.Command) == 0 {
		return boragewick.Result{}
	}
	var c boragewick.Command
	if err := boragewick.Decode(e.Command, &c); err != nil {
		return faultResult(errors.Wrapf(boragewick.ErrUnknownCommand, "%s", err))
	}
	switch {
	case c.Plan != nil:
		return m.storePlan(c.Plan, c.At)
	case c.Confirm != nil:
		return m.confirm(c.Confirm, c.At)
	case c.Announce != nil:
		return m.announce(c.Announce.Endpoint)
	case c.Depart != nil:
		return m.depart(c.Depart)
	case c.Order != nil:
		return m.recordOrder(*c.Order, e.Revision)
	case c.Outcome != nil:
		return m.recordOutcome(c.Outcome, c.At)
	case c.Switch != nil:
		return m.switchRoute(c.Switch, c.At)
	case c.Claim != nil:
		return m.claim(c.Claim, c.At)
	case c.Settle != nil:
		return m.settle(c.Settle, c.At)
	default:
		return faultResult(errors.Wrap(boragewick.ErrUnknownCommand, "no part of the command is known here"))
	}
}

func faultResult(err error) boragewick.Result {
	f := boragewick.FaultOf(err)
	return boragewick.Result{Fault: &f}
}

// Revision returns the revision of the configuration and directory.
func (m *Machine) Revision() boragewick.Revision {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.updateRevision
}

// appendUpdate adds a change of the configuration or directory to the updates
// for receivers.
func (m *Machine) appendUpdate(u boragewick.Update) {
	u.Revision = m.appliedRevision
	m.updateRevision = m.appliedRevision
	m.updates.add(u)
}

// View calls f with the catalogue, which f must neither modify nor retain.
func (m *Machine) View(f func(c *catalogue.Catalogue)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(&m.catalogue)
}

// Endpoints returns a copy of the directory, keyed by endpoint name.
func (m *Machine) Endpoints() map[string]boragewick.Endpoint {
	m.mu.RLock()
	defer m.mu.RUnlock()
	list := make(map[string]boragewick.Endpoint, len(m.endpoints))
	for name, e := range m.endpoints {
		list[name] = e
	}
	return list
}
