// Package takes lets one run of an agent take each claim at most once.
package takes

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	// retentionMinutes is how long a claim is kept after its deadline.
	retentionMinutes = 10
	retention        = retentionMinutes * time.Minute
	// maxClaims bounds the claims that are kept.
	maxClaims = 1 << 16
)

// AgentClaims records the claims that an agent has taken or revoked. The zero
// value takes nothing until Agent is set. It is safe for concurrent use.
type AgentClaims struct {
	// Agent is the run of the agent that the claims must name.
	Agent boragewick.Incarnation

	mu     sync.Mutex
	latest time.Time // the clock never counts as earlier than this
	claims map[claimKey]entry
	// order lists the claims in order of arrival.
	order []claimKey
}

type claimKey struct {
	workspace boragewick.ID
	key       string
}

type entry struct {
	attempt uint64
	taken   bool
	expires time.Time
}

// Take takes the claim. The errors are ErrFenced for another run's claim,
// ErrTimeout past its deadline, ErrOverloaded, and ErrClaimTaken. They are
// marked not run only when this run of the agent has certainly not taken the
// attempt, nor a newer one.
func (t *AgentClaims) Take(now time.Time, c boragewick.Claim) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.monotonic(now)
	if err := t.check(now, &c); err != nil {
		return err
	}
	if !now.Before(c.Deadline) {
		return boragewick.NotRun(errors.Wrapf(boragewick.ErrTimeout, "claim %q", c.Key))
	}
	return t.record(now, &c, true)
}

// Taken reports whether this attempt of the claim has been taken already.
func (t *AgentClaims) Taken(c boragewick.Claim) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.claims[claimKey{c.Workspace, c.Key}]
	return known && e.taken && e.attempt == c.Attempt
}

// Revoke makes Take refuse the claim from now on. It reports false when the
// claim was taken, and an error when that is not known.
func (t *AgentClaims) Revoke(now time.Time, c boragewick.Claim) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.monotonic(now)
	e, known := t.claims[claimKey{c.Workspace, c.Key}]
	if known && e.attempt == c.Attempt {
		return !e.taken, nil
	}
	if err := t.check(now, &c); err != nil {
		return false, err
	}
	return true, t.record(now, &c, false)
}

// monotonic returns now, or the latest time seen if the clock was set back:
// claims that have been evicted must stay past their deadline.
func (t *AgentClaims) monotonic(now time.Time) time.Time {
	if now.After(t.latest) {
		t.latest = now
	}
	return t.latest
}

// check refuses a claim that is for another run, so old that it may have been
// evicted, or superseded.
func (t *AgentClaims) check(now time.Time, c *boragewick.Claim) error {
	if c.Agent != t.Agent {
		return errors.Wrapf(boragewick.ErrFenced, "claim %q is for another run of the agent", c.Key)
	}
	if !now.Before(c.Deadline.Add(retention)) {
		return errors.Wrapf(boragewick.ErrTimeout, "claim %q is long past its deadline", c.Key)
	}
	if e, ok := t.claims[claimKey{c.Workspace, c.Key}]; ok && c.Attempt <= e.attempt {
		return errors.Wrapf(boragewick.ErrClaimTaken, "claim %q, attempt %d", c.Key, c.Attempt)
	}
	return nil
}

func (t *AgentClaims) record(now time.Time, c *boragewick.Claim, taken bool) error {
	t.evictExpired(now)
	if len(t.order) >= maxClaims {
		return boragewick.NotRun(errors.Wrap(boragewick.ErrOverloaded, "too many claims in a short time"))
	}
	if t.claims == nil {
		t.claims = map[claimKey]entry{}
	}
	key := claimKey{c.Workspace, c.Key}
	if _, ok := t.claims[key]; !ok {
		t.order = append(t.order, key)
	}
	t.claims[key] = entry{attempt: c.Attempt, taken: taken, expires: c.Deadline.Add(retention)}
	return nil
}

// evictExpired drops expired claims from the front of order.
func (t *AgentClaims) evictExpired(now time.Time) {
	for len(t.order) > 0 && !now.Before(t.claims[t.order[0]].expires) {
		delete(t.claims, t.order[0])
		t.order = t.order[1:]
	}
}
