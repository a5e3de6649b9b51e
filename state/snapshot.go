package state

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/catalogue"
)

// snapshotVersion is the version of the snapshot's format.
const snapshotVersion = 1

type snapshot struct {
	Version   int                                    `cbor:"version"`
	Applied   boragewick.Revision                    `cbor:"applied"`
	Update    boragewick.Update                      `cbor:"update"`
	Plans     []boragewick.Plan                      `cbor:"plans"`
	Decisions []boragewick.Decision                  `cbor:"decisions"`
	Claims    []byte                                 `cbor:"claims"`
	History   map[boragewick.ID][]boragewick.History `cbor:"history"`
	Orders    map[string]boragewick.OrderRecord      `cbor:"orders"`
	Rollouts  map[boragewick.ID]boragewick.Rollout   `cbor:"rollouts"`
}

// Snapshot implements boragewick.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := snapshot{
		Version: snapshotVersion, Applied: m.appliedRevision, Update: m.snapshotUpdate(), History: m.history,
		Orders: m.orders, Rollouts: m.rollouts,
	}
	for _, p := range m.plans {
		s.Plans = append(s.Plans, *p)
	}
	slices.SortFunc(s.Plans, func(a, b boragewick.Plan) int { return cmp.Compare(a.ID, b.ID) })
	for _, id := range m.decisions.order {
		s.Decisions = append(s.Decisions, *m.decisions.byPlan[id])
	}
	var err error
	if s.Claims, err = m.claims.Snapshot(); err != nil {
		return nil, err
	}
	return boragewick.Encode(s)
}

// Restore implements boragewick.StateMachine. On error, which is ErrCorrupt, the
// machine is unchanged.
func (m *Machine) Restore(b []byte) error {
	var s snapshot
	if err := boragewick.Decode(b, &s); err != nil {
		return errors.Wrapf(boragewick.ErrCorrupt, "state snapshot: %s", err)
	}
	if s.Version != snapshotVersion {
		return errors.Wrapf(boragewick.ErrCorrupt, "state snapshot has version %d, want %d", s.Version, snapshotVersion)
	}
	c, err := buildCatalogue(s.Update.Objects)
	if err != nil {
		return errors.Wrapf(boragewick.ErrCorrupt, "state snapshot: %s", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.claims.Restore(s.Claims); err != nil {
		return errors.Wrapf(boragewick.ErrCorrupt, "state snapshot: %s", err)
	}
	m.appliedRevision = s.Applied
	m.updateRevision = s.Update.Revision
	m.catalogue = *c
	m.history = s.History
	m.orders = s.Orders
	m.rollouts = s.Rollouts
	m.plans = map[boragewick.ID]*boragewick.Plan{}
	for i := range s.Plans {
		m.plans[s.Plans[i].ID] = &s.Plans[i]
	}
	m.decisions = decisionLog{}
	for i := range s.Decisions {
		m.decisions.add(&s.Decisions[i])
	}
	m.endpoints = map[string]boragewick.Endpoint{}
	for _, e := range s.Update.Endpoints {
		m.endpoints[e.Name] = e
	}
	m.updates.reset(m.updateRevision.Index)
	return nil
}

// buildCatalogue adds the objects to a new catalogue, workspaces before the
// objects that refer to them.
func buildCatalogue(objects []boragewick.Object) (*catalogue.Catalogue, error) {
	var c catalogue.Catalogue
	for _, kind := range boragewick.Kinds {
		for i := range objects {
			if objects[i].Kind != kind {
				continue
			}
			if err := c.Put(&objects[i]); err != nil {
				return nil, err
			}
		}
	}
	return &c, nil
}
