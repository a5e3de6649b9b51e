// Package claims is the part of the replicated state that makes unrepeatable
// requests run at most once.
package claims

import (
	"container/list"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	maxKeyBytes      = 255
	maxAnswerBytes   = 64 << 10
	retentionHours   = 24
	retention        = retentionHours * time.Hour
	openGraceSeconds = 120
	openGrace        = openGraceSeconds * time.Second
	// recordOverheadBytes is counted for each record on top of its strings and
	// answer.
	recordOverheadBytes = 512
	// workspaceDivisor limits one workspace to 1/workspaceDivisor of all bytes.
	workspaceDivisor = 4
)

// DefaultMaxBytes bounds the size of all records when MaxBytes is zero.
const DefaultMaxBytes = 64 << 20

// Claims holds the claims of all workspaces. Committed commands update it, each
// with the time that the leader chose, so that every replica has the same
// records. It is not safe for concurrent use. The zero value is empty and ready.
type Claims struct {
	// MaxBytes bounds the memory of all records; one workspace gets a quarter.
	// It must be the same on all replicas.
	MaxBytes int

	now            time.Time
	records        map[claimKey]*record
	byExpiry       *list.List // of *record, first to expire in front
	bytes          int
	workspaceBytes map[boragewick.ID]int
}

// claimKey identifies a claim. Equal keys of two workspaces are distinct.
type claimKey struct {
	workspace boragewick.ID
	key       string
}

// record is a claim with its element in the list by expiry.
type record struct {
	boragewick.ClaimRecord
	bytes   int
	element *list.Element
}

func (r *record) key() claimKey { return claimKey{r.Claim.Workspace, r.Claim.Key} }

// Claim opens the claim for the first request that has the key. An identical
// claim is granted again while it is open, since the first answer may have been
// lost. A request that was dispatched with a claim must claim again with another
// deadline, so that a late settlement cannot apply to a second dispatch. Errors
// are marked not run: ErrMalformed, ErrTimeout when the deadline has passed,
// ErrKeyReused, and ErrOverloaded when the records use up their memory.
func (c *Claims) Claim(at time.Time, claim boragewick.Claim) (boragewick.ClaimResult, error) {
	c.advance(at)
	if err := c.check(claim); err != nil {
		return boragewick.ClaimResult{}, boragewick.NotRun(err)
	}
	key := claimKey{claim.Workspace, claim.Key}
	r := c.records[key]
	if r == nil {
		return c.open(claim)
	}
	if r.Claim.Digest != claim.Digest {
		err := errors.Wrapf(boragewick.ErrKeyReused, "key %q", claim.Key)
		return boragewick.ClaimResult{}, boragewick.NotRun(err)
	}
	c.markOverdueUnknown(r)
	// The log may commit one claim twice, but a new claim of the same request
	// has another deadline.
	repeated := r.Claim.Request == claim.Request && r.Claim.Agent == claim.Agent && r.Claim.Deadline.Equal(claim.Deadline)
	switch {
	case repeated:
		return boragewick.ClaimResult{Record: r.ClaimRecord, Granted: r.State == boragewick.ClaimOpen}, nil
	case r.State == boragewick.ClaimNotRun:
		claim.Attempt = r.Claim.Attempt + 1
		r.Claim = claim
		r.State = boragewick.ClaimOpen
		r.Expires = c.now.Add(retention)
		c.byExpiry.MoveToBack(r.element)
		c.updateSize(r)
		return boragewick.ClaimResult{Record: r.ClaimRecord, Granted: true}, nil
	default:
		return boragewick.ClaimResult{Record: r.ClaimRecord}, nil
	}
}

// markOverdueUnknown makes an open claim unknown if it was not settled within
// openGrace after its deadline.
func (c *Claims) markOverdueUnknown(r *record) {
	if r.State == boragewick.ClaimOpen && c.now.After(r.Claim.Deadline.Add(openGrace)) {
		r.State = boragewick.ClaimUnknown
	}
}

// Settle records how an attempt ended. A claim that is done stays done, and a
// late proof that an unknown attempt did not run, or its late answer, is still
// accepted. Errors are ErrMalformed, ErrUnknownObject and ErrClaimTaken.
func (c *Claims) Settle(at time.Time, s boragewick.Settlement) (boragewick.ClaimRecord, error) {
	c.advance(at)
	key := claimKey{s.Workspace, s.Key}
	r := c.records[key]
	if r == nil {
		return boragewick.ClaimRecord{}, errors.Wrapf(boragewick.ErrUnknownObject, "claim %q", s.Key)
	}
	if r.Claim.Request != s.Request || r.Claim.Attempt != s.Attempt {
		return r.ClaimRecord, errors.Wrapf(boragewick.ErrClaimTaken, "claim %q is at attempt %d", s.Key, r.Claim.Attempt)
	}
	if err := checkSettlement(s); err != nil {
		return r.ClaimRecord, err
	}
	if rank(s.State) <= rank(r.State) {
		return r.ClaimRecord, nil
	}
	r.State = s.State
	if s.State == boragewick.ClaimDone {
		c.storeAnswer(r, s.Answer)
	}
	return r.ClaimRecord, nil
}

// rank orders the states of one attempt by how much is known about it.
func rank(s boragewick.ClaimState) int {
	switch s {
	case boragewick.ClaimUnknown:
		return 1
	case boragewick.ClaimNotRun:
		return 2
	case boragewick.ClaimDone:
		return 3
	default:
		return 0
	}
}

func (c *Claims) check(claim boragewick.Claim) error {
	switch {
	case claim.Workspace == "" || claim.Key == "" || claim.Request == "" || claim.Agent == "":
		return errors.Wrap(boragewick.ErrMalformed, "claim without workspace, key, request or agent")
	case len(claim.Key) > maxKeyBytes:
		return errors.Wrapf(boragewick.ErrMalformed, "claim key of %d bytes, at most %d", len(claim.Key), maxKeyBytes)
	case !c.now.Before(claim.Deadline):
		return errors.Wrap(boragewick.ErrTimeout, "claim")
	case claim.Deadline.Sub(c.now) > retention/2:
		return errors.Wrapf(boragewick.ErrMalformed, "claim deadline more than %s ahead", retention/2)
	}
	return nil
}

func checkSettlement(s boragewick.Settlement) error {
	if rank(s.State) == 0 {
		return errors.Wrapf(boragewick.ErrMalformed, "settlement with state %q", s.State)
	}
	if (s.State == boragewick.ClaimDone) != (s.Answer != nil) {
		return errors.Wrapf(boragewick.ErrMalformed, "settlement with state %q and answer %t", s.State, s.Answer != nil)
	}
	return nil
}

func (c *Claims) open(claim boragewick.Claim) (boragewick.ClaimResult, error) {
	claim.Attempt = 1
	r := &record{ClaimRecord: boragewick.ClaimRecord{
		Claim:   claim,
		State:   boragewick.ClaimOpen,
		Expires: c.now.Add(retention),
	}}
	if !c.fits(claim.Workspace, r.size()) {
		err := errors.Wrapf(boragewick.ErrOverloaded, "claims take up their memory, %d bytes of all and %d of workspace %s",
			c.bytes, c.workspaceBytes[claim.Workspace], claim.Workspace)
		return boragewick.ClaimResult{}, boragewick.NotRun(err)
	}
	c.insert(r)
	return boragewick.ClaimResult{Record: r.ClaimRecord, Granted: true}, nil
}

func (c *Claims) insert(r *record) {
	if c.records == nil {
		c.records = make(map[claimKey]*record)
		c.workspaceBytes = make(map[boragewick.ID]int)
		c.byExpiry = list.New()
	}
	c.records[r.key()] = r
	r.element = c.byExpiry.PushBack(r)
	c.updateSize(r)
}

// storeAnswer stores the answer, without its body when that is too large or
// there is no memory for it.
func (c *Claims) storeAnswer(r *record, answer *boragewick.StoredAnswer) {
	stored := *answer
	size := len(stored.Body)
	if size > maxAnswerBytes || !c.fits(r.Claim.Workspace, size) {
		stored.Body = nil
		stored.BodyOmitted = true
	}
	r.Answer = &stored
	c.updateSize(r)
}

func (c *Claims) fits(workspace boragewick.ID, size int) bool {
	limit := c.MaxBytes
	if limit == 0 {
		limit = DefaultMaxBytes
	}
	return c.bytes+size <= limit && c.workspaceBytes[workspace]+size <= limit/workspaceDivisor
}

// updateSize recomputes the record's size and adjusts the totals.
func (c *Claims) updateSize(r *record) {
	size := r.size()
	c.bytes += size - r.bytes
	c.workspaceBytes[r.Claim.Workspace] += size - r.bytes
	r.bytes = size
}

func (r *record) size() int {
	size := recordOverheadBytes + len(r.Claim.Workspace) + len(r.Claim.Key) + len(r.Claim.Request) + len(r.Claim.Endpoint) + len(r.Claim.Agent)
	if r.Answer == nil {
		return size
	}
	for _, f := range r.Answer.Head.Header {
		size += len(f.Name) + len(f.Value)
	}
	return size + len(r.Answer.Body)
}

// advance moves the time forward, never back, and drops expired records.
func (c *Claims) advance(at time.Time) {
	if at.After(c.now) {
		c.now = at
	}
	if c.byExpiry == nil {
		return
	}
	for front := c.byExpiry.Front(); front != nil; front = c.byExpiry.Front() {
		r := front.Value.(*record)
		if c.now.Before(r.Expires) {
			return
		}
		c.byExpiry.Remove(front)
		delete(c.records, r.key())
		workspace := r.Claim.Workspace
		c.bytes -= r.bytes
		c.workspaceBytes[workspace] -= r.bytes
		if c.workspaceBytes[workspace] == 0 {
			delete(c.workspaceBytes, workspace)
		}
	}
}
