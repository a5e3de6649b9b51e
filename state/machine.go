// Package state is the state machine that the replicated log drives: the
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
// read methods are safe for concurrent use beside one goroutine that applies.
type Machine struct {
	mu       sync.RWMutex
	revision boragewick.Revision
	// configured is the revision of the last update.
	configured boragewick.Revision
	catalogue  catalogue.Catalogue
	plans      map[boragewick.ID]*boragewick.Plan
	decisions  decisionLog
	history    map[boragewick.ID][]boragewick.History
	endpoints  map[string]boragewick.Endpoint
	claims     claims.Claims
	updates    updateLog
	// orders holds the newest order to each endpoint and rollouts what is
	// known of each route's change of version.
	orders   map[string]boragewick.OrderRecord
	rollouts map[boragewick.ID]boragewick.Rollout
}

// Apply implements boragewick.StateMachine. The result is a CBOR Result.
func (m *Machine) Apply(e boragewick.Entry) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision = e.Revision
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
		return failed(errors.Wrapf(boragewick.ErrUnknownCommand, "%s", err))
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
		return m.order(*c.Order, e.Revision)
	case c.Outcome != nil:
		return m.outcome(c.Outcome, c.At)
	case c.Switch != nil:
		return m.switchRoute(c.Switch, c.At)
	case c.Claim != nil:
		return m.claim(c.Claim, c.At)
	case c.Settle != nil:
		return m.settle(c.Settle, c.At)
	default:
		return failed(errors.Wrap(boragewick.ErrUnknownCommand, "no part of the command is known here"))
	}
}

func failed(err error) boragewick.Result {
	f := boragewick.FaultOf(err)
	return boragewick.Result{Fault: &f}
}

// Revision returns the revision of the configuration and directory.
func (m *Machine) Revision() boragewick.Revision {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.configured
}

// update publishes a change of the configuration or directory.
func (m *Machine) update(u boragewick.Update) {
	u.Revision = m.revision
	m.configured = m.revision
	m.updates.add(u)
}

// View calls f with the catalogue, which f may neither change nor keep.
func (m *Machine) View(f func(c *catalogue.Catalogue)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(&m.catalogue)
}

// Endpoints returns the directory.
func (m *Machine) Endpoints() map[string]boragewick.Endpoint {
	m.mu.RLock()
	defer m.mu.RUnlock()
	list := make(map[string]boragewick.Endpoint, len(m.endpoints))
	for name, e := range m.endpoints {
		list[name] = e
	}
	return list
}
