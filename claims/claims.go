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
	// recordBytes is what a record counts besides its strings and answer.
	recordBytes = 512
	// workspaceDivisor is the part of all bytes that one workspace may have.
	workspaceDivisor = 4
)

// DefaultMaxBytes bounds the records together when MaxBytes is zero.
const DefaultMaxBytes = 64 << 20

// Claims holds the claims of all workspaces. Committed commands drive it with
// the instant that the leader decided on, so that every replica has the same
// records. It is not safe for use by several goroutines. The zero value is
// empty and ready.
type Claims struct {
	// MaxBytes bounds the memory of all records; one workspace gets a quarter.
	// It must be the same on all replicas.
	MaxBytes int

	now     time.Time
	records map[id]*record
	order   *list.List // of *record, the first to expire in front
	bytes   int
	used    map[boragewick.ID]int // bytes by workspace
}

// id names a claim; workspaces never meet.
type id struct {
	workspace boragewick.ID
	key       string
}

// record is a claim with its place in the order of expiry.
type record struct {
	boragewick.ClaimRecord
	bytes int
	place *list.Element
}

func (r *record) id() id { return id{r.Claim.Workspace, r.Claim.Key} }

// Claim opens the claim for the first request that has the key. The very same
// claim is granted again while it is open, since its first answer may be lost;
// a request that was granted a claim and sent it must claim anew with another
// deadline, so that a late settlement cannot meet a second dispatch. Errors are
// marked not run: ErrMalformed, ErrTimeout when the deadline has passed,
// ErrKeyReused, and ErrOverloaded when the records take up their memory.
func (c *Claims) Claim(at time.Time, claim boragewick.Claim) (boragewick.ClaimResult, error) {
	c.advance(at)
	if err := c.check(claim); err != nil {
		return boragewick.ClaimResult{}, boragewick.NotRun(err)
	}
	key := id{claim.Workspace, claim.Key}
	r := c.records[key]
	if r == nil {
		return c.open(claim)
	}
	if r.Claim.Digest != claim.Digest {
		err := errors.Wrapf(boragewick.ErrKeyReused, "key %q", claim.Key)
		return boragewick.ClaimResult{}, boragewick.NotRun(err)
	}
	c.lapse(r)
	// The same request may have the log commit one claim twice, but claims anew
	// with another deadline.
	repeated := r.Claim.Request == claim.Request && r.Claim.Agent == claim.Agent && r.Claim.Deadline.Equal(claim.Deadline)
	switch {
	case repeated:
		return boragewick.ClaimResult{Record: r.ClaimRecord, Granted: r.State == boragewick.ClaimOpen}, nil
	case r.State == boragewick.ClaimNotRun:
		claim.Attempt = r.Claim.Attempt + 1
		r.Claim = claim
		r.State = boragewick.ClaimOpen
		r.Expires = c.now.Add(retention)
		c.order.MoveToBack(r.place)
		c.resize(r)
		return boragewick.ClaimResult{Record: r.ClaimRecord, Granted: true}, nil
	default:
		return boragewick.ClaimResult{Record: r.ClaimRecord}, nil
	}
}

// lapse gives up on an open claim that nobody settled in time.
func (c *Claims) lapse(r *record) {
	if r.State == boragewick.ClaimOpen && c.now.After(r.Claim.Deadline.Add(openGrace)) {
		r.State = boragewick.ClaimUnknown
	}
}

// Settle records how an attempt ended. A claim that is done stays done, and a
// proof that an unknown attempt did not run, or its answer, is taken in late.
// Errors are ErrMalformed, ErrUnknownObject and ErrClaimTaken.
func (c *Claims) Settle(at time.Time, s boragewick.Settlement) (boragewick.ClaimRecord, error) {
	c.advance(at)
	key := id{s.Workspace, s.Key}
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
		c.keepAnswer(r, s.Answer)
	}
	return r.ClaimRecord, nil
}

// rank orders the states of one attempt by what is known of it.
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
			c.bytes, c.used[claim.Workspace], claim.Workspace)
		return boragewick.ClaimResult{}, boragewick.NotRun(err)
	}
	c.insert(r)
	return boragewick.ClaimResult{Record: r.ClaimRecord, Granted: true}, nil
}

func (c *Claims) insert(r *record) {
	if c.records == nil {
		c.records = make(map[id]*record)
		c.used = make(map[boragewick.ID]int)
		c.order = list.New()
	}
	c.records[r.id()] = r
	r.place = c.order.PushBack(r)
	c.resize(r)
}

// keepAnswer stores the answer, without its body when that is too large or
// there is no memory for it.
func (c *Claims) keepAnswer(r *record, answer *boragewick.StoredAnswer) {
	kept := *answer
	size := len(kept.Body)
	if size > maxAnswerBytes || !c.fits(r.Claim.Workspace, size) {
		kept.Body = nil
		kept.BodyOmitted = true
	}
	r.Answer = &kept
	c.resize(r)
}

func (c *Claims) fits(workspace boragewick.ID, size int) bool {
	most := c.MaxBytes
	if most == 0 {
		most = DefaultMaxBytes
	}
	return c.bytes+size <= most && c.used[workspace]+size <= most/workspaceDivisor
}

// resize brings the sums up to date with the record.
func (c *Claims) resize(r *record) {
	size := r.size()
	c.bytes += size - r.bytes
	c.used[r.Claim.Workspace] += size - r.bytes
	r.bytes = size
}

func (r *record) size() int {
	size := recordBytes + len(r.Claim.Workspace) + len(r.Claim.Key) + len(r.Claim.Request) + len(r.Claim.Endpoint) + len(r.Claim.Agent)
	if r.Answer == nil {
		return size
	}
	for _, f := range r.Answer.Head.Header {
		size += len(f.Name) + len(f.Value)
	}
	return size + len(r.Answer.Body)
}

// advance moves the time on, never back, and forgets expired records.
func (c *Claims) advance(at time.Time) {
	if at.After(c.now) {
		c.now = at
	}
	if c.order == nil {
		return
	}
	for front := c.order.Front(); front != nil; front = c.order.Front() {
		r := front.Value.(*record)
		if c.now.Before(r.Expires) {
			return
		}
		c.order.Remove(front)
		delete(c.records, r.id())
		workspace := r.Claim.Workspace
		c.bytes -= r.bytes
		c.used[workspace] -= r.bytes
		if c.used[workspace] == 0 {
			delete(c.used, workspace)
		}
	}
}
