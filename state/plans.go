package state

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	// expiredPlanRetention is how long an expired plan is kept, so that
	// confirming it reports ErrPlanExpired.
	expiredPlanRetention = time.Hour
	// historyEntries is the number of past changes kept for each object.
	historyEntries = 4
	// decisionRetention is how long a decision is kept to answer resent
	// confirmations.
	decisionRetention = 24 * time.Hour
)

// decisionLog holds the decisions in the order in which they were made.
type decisionLog struct {
	byPlan map[boragewick.ID]*boragewick.Decision
	order  []boragewick.ID
}

func (l *decisionLog) add(d *boragewick.Decision) {
	if l.byPlan == nil {
		l.byPlan = map[boragewick.ID]*boragewick.Decision{}
	}
	for len(l.order) > 0 && l.byPlan[l.order[0]].At.Add(decisionRetention).Before(d.At) {
		delete(l.byPlan, l.order[0])
		l.order = l.order[1:]
	}
	l.byPlan[d.Plan] = d
	l.order = append(l.order, d.Plan)
}

func (m *Machine) storePlan(p *boragewick.Plan, at time.Time) boragewick.Result {
	if m.plans == nil {
		m.plans = map[boragewick.ID]*boragewick.Plan{}
	}
	for id, old := range m.plans {
		if old.Expires.Add(expiredPlanRetention).Before(at) {
			delete(m.plans, id)
		}
	}
	m.plans[p.ID] = p
	return boragewick.Result{}
}

func (m *Machine) confirm(c *boragewick.Confirm, at time.Time) boragewick.Result {
	if d := m.decisions.byPlan[c.Plan]; d != nil {
		if d.Operator != c.Operator {
			return faultResult(errors.Wrapf(boragewick.ErrPlanDecided, "plan %s was decided by %s at %s",
				c.Plan, d.Operator, d.At.UTC().Format(time.RFC3339)))
		}
		return boragewick.Result{Decision: d}
	}
	p := m.plans[c.Plan]
	if p == nil {
		return faultResult(errors.Wrapf(boragewick.ErrUnknownPlan, "no plan %s", c.Plan))
	}
	d := &boragewick.Decision{Plan: p.ID, Operator: c.Operator, At: at}
	if err := m.applyPlan(p, d); err != nil {
		f := boragewick.FaultOf(err)
		d.Fault = &f
	} else {
		d.Revision = m.appliedRevision
	}
	delete(m.plans, p.ID)
	m.decisions.add(d)
	return boragewick.Result{Decision: d}
}

// applyPlan applies all changes of the plan or none.
func (m *Machine) applyPlan(p *boragewick.Plan, d *boragewick.Decision) error {
	if !d.At.Before(p.Expires) {
		return errors.Wrapf(boragewick.ErrPlanExpired, "plan %s expired at %s; plan again", p.ID, p.Expires.UTC().Format(time.RFC3339))
	}
	for i := range p.Changes {
		if err := m.checkBase(&p.Changes[i]); err != nil {
			return err
		}
	}
	var undo []func()
	for i := range p.Changes {
		revert, err := m.applyChange(&p.Changes[i])
		if err != nil {
			for _, f := range slices.Backward(undo) {
				f()
			}
			return errors.Wrapf(boragewick.ErrPlanStale, "%s; plan again", err)
		}
		undo = append(undo, revert)
	}
	m.publish(p, d)
	return nil
}

func (m *Machine) checkBase(c *boragewick.Change) error {
	var current uint64
	if o := m.catalogue.Get(c.Object.ID); o != nil {
		current = o.Revision
	}
	if current != c.Base {
		return errors.Wrapf(boragewick.ErrPlanStale, "%s %s has changed since; plan again", c.Object.Kind, c.Object.Names)
	}
	return nil
}

// applyChange applies one change and returns a function that reverts it.
func (m *Machine) applyChange(c *boragewick.Change) (undo func(), err error) {
	old := m.catalogue.Get(c.Object.ID)
	if c.Action == boragewick.ActionRemove {
		return func() { _ = m.catalogue.Put(old) }, m.catalogue.Remove(c.Object.ID)
	}
	o := c.Object
	o.Revision = m.appliedRevision.Index
	if err := m.catalogue.Put(&o); err != nil {
		return nil, err
	}
	if old == nil {
		return func() { _ = m.catalogue.Remove(o.ID) }, nil
	}
	return func() { _ = m.catalogue.Put(old) }, nil
}

func (m *Machine) publish(p *boragewick.Plan, d *boragewick.Decision) {
	var u boragewick.Update
	for i := range p.Changes {
		c := &p.Changes[i]
		m.recordHistory(c, d)
		if c.Action == boragewick.ActionRemove {
			u.Removed = append(u.Removed, c.Object.ID)
			continue
		}
		u.Objects = append(u.Objects, *m.catalogue.Get(c.Object.ID))
	}
	m.appendUpdate(u)
}

func (m *Machine) recordHistory(c *boragewick.Change, d *boragewick.Decision) {
	if m.history == nil {
		m.history = map[boragewick.ID][]boragewick.History{}
	}
	id := c.Object.ID
	if c.Action == boragewick.ActionRemove {
		delete(m.history, id)
		return
	}
	h := append(m.history[id], boragewick.History{
		Plan: d.Plan, Operator: d.Operator, At: d.At, Action: c.Action, Revision: m.appliedRevision,
	})
	m.history[id] = h[max(0, len(h)-historyEntries):]
}

// History returns the most recent changes of the object, oldest first.
func (m *Machine) History(id boragewick.ID) []boragewick.History {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return append([]boragewick.History(nil), m.history[id]...)
}

// Plan returns the stored plan, or nil.
func (m *Machine) Plan(id boragewick.ID) *boragewick.Plan {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.plans[id]
}
