package claims_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/claims"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 123456789, time.UTC)

func claim(workspace boragewick.ID, key string, request boragewick.RequestID, digest byte) boragewick.Claim {
	return boragewick.Claim{
		Workspace: workspace,
		Key:       key,
		Digest:    boragewick.RequestDigest{digest},
		Request:   request,
		Endpoint:  "ledger-1",
		Agent:     "inc_agent",
		Deadline:  start.Add(time.Minute),
	}
}

func settlement(state boragewick.ClaimState, attempt uint64) boragewick.Settlement {
	s := boragewick.Settlement{Workspace: "ws_a", Key: "k", Request: "req_1", Attempt: attempt, State: state}
	if state == boragewick.ClaimDone {
		s.Answer = &boragewick.StoredAnswer{Head: boragewick.Head{Status: 201}, Body: []byte("paid")}
	}
	return s
}

func TestClaimAfterFirst(t *testing.T) {
	open, done := boragewick.ClaimOpen, boragewick.ClaimDone
	notRun, unknown := boragewick.ClaimNotRun, boragewick.ClaimUnknown
	tests := map[string]struct {
		settled []boragewick.ClaimState
		claim   boragewick.Claim
		after   time.Duration
		granted bool
		state   boragewick.ClaimState
		attempt uint64
		err     error
	}{
		"same request":           {nil, claim("ws_a", "k", "req_1", 1), 0, true, open, 1, nil},
		"same request anew":      {nil, withDeadline(claim("ws_a", "k", "req_1", 1), time.Hour), 0, false, open, 1, nil},
		"repeated, not run":      {[]boragewick.ClaimState{notRun}, claim("ws_a", "k", "req_1", 1), 0, false, notRun, 1, nil},
		"anew after not run":     {[]boragewick.ClaimState{notRun}, withDeadline(claim("ws_a", "k", "req_1", 1), time.Hour), 0, true, open, 2, nil},
		"while open":             {nil, claim("ws_a", "k", "req_2", 1), 0, false, open, 1, nil},
		"after done":             {[]boragewick.ClaimState{done}, claim("ws_a", "k", "req_2", 1), 0, false, done, 1, nil},
		"same after done":        {[]boragewick.ClaimState{done}, claim("ws_a", "k", "req_1", 1), 0, false, done, 1, nil},
		"after unknown":          {[]boragewick.ClaimState{unknown}, claim("ws_a", "k", "req_2", 1), 0, false, unknown, 1, nil},
		"after not run":          {[]boragewick.ClaimState{notRun}, claim("ws_a", "k", "req_2", 1), 0, true, open, 2, nil},
		"done after unknown":     {[]boragewick.ClaimState{unknown, done}, claim("ws_a", "k", "req_2", 1), 0, false, done, 1, nil},
		"proof after unknown":    {[]boragewick.ClaimState{unknown, notRun}, claim("ws_a", "k", "req_2", 1), 0, true, open, 2, nil},
		"unknown after done":     {[]boragewick.ClaimState{done, unknown}, claim("ws_a", "k", "req_2", 1), 0, false, done, 1, nil},
		"not run after done":     {[]boragewick.ClaimState{done, notRun}, claim("ws_a", "k", "req_2", 1), 0, false, done, 1, nil},
		"other digest":           {nil, claim("ws_a", "k", "req_2", 2), 0, false, "", 0, boragewick.ErrKeyReused},
		"other digest, done":     {[]boragewick.ClaimState{done}, claim("ws_a", "k", "req_2", 2), 0, false, "", 0, boragewick.ErrKeyReused},
		"other workspace":        {nil, claim("ws_b", "k", "req_2", 2), 0, true, open, 1, nil},
		"other key":              {nil, claim("ws_a", "l", "req_2", 2), 0, true, open, 1, nil},
		"past its deadline":      {nil, claim("ws_a", "l", "req_2", 2), time.Minute, false, "", 0, boragewick.ErrTimeout},
		"no key":                 {nil, claim("ws_a", "", "req_2", 2), 0, false, "", 0, boragewick.ErrMalformed},
		"long key":               {nil, claim("ws_a", strings.Repeat("k", 256), "req_2", 2), 0, false, "", 0, boragewick.ErrMalformed},
		"nobody settled":         {nil, withDeadline(claim("ws_a", "k", "req_2", 1), time.Hour), 10 * time.Minute, false, unknown, 1, nil},
		"after it was forgotten": {[]boragewick.ClaimState{unknown}, withDeadline(claim("ws_a", "k", "req_2", 2), 25*time.Hour), 24 * time.Hour, true, open, 1, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var c claims.Claims
			if r, err := c.Claim(start, claim("ws_a", "k", "req_1", 1)); err != nil || !r.Granted {
				t.Fatalf("first claim: %+v, %v", r, err)
			}
			for _, state := range tt.settled {
				if _, err := c.Settle(start, settlement(state, 1)); err != nil {
					t.Fatal(err)
				}
			}
			r, err := c.Claim(start.Add(tt.after), tt.claim)
			if !errors.Is(err, tt.err) {
				t.Fatalf("got %v, want %v", err, tt.err)
			}
			if err != nil && !errors.Is(err, boragewick.ErrNotRun) {
				t.Errorf("%v is not marked not run", err)
			}
			if r.Granted != tt.granted || r.Record.State != tt.state || r.Record.Claim.Attempt != tt.attempt {
				t.Errorf("granted %t, %s, attempt %d", r.Granted, r.Record.State, r.Record.Claim.Attempt)
			}
			if tt.state == done && string(r.Record.Answer.Body) != "paid" {
				t.Errorf("answer %+v", r.Record.Answer)
			}
		})
	}
}

func withDeadline(c boragewick.Claim, after time.Duration) boragewick.Claim {
	c.Deadline = start.Add(after)
	return c
}

func TestRejectedSettlementChangesNothing(t *testing.T) {
	tests := map[string]struct {
		settlement boragewick.Settlement
		err        error
	}{
		"other attempt":  {settlement(boragewick.ClaimDone, 2), boragewick.ErrClaimTaken},
		"open":           {settlement(boragewick.ClaimOpen, 1), boragewick.ErrMalformed},
		"without answer": {boragewick.Settlement{Workspace: "ws_a", Key: "k", Request: "req_1", Attempt: 1, State: boragewick.ClaimDone}, boragewick.ErrMalformed},
		"other request":  {boragewick.Settlement{Workspace: "ws_a", Key: "k", Request: "req_2", Attempt: 1, State: boragewick.ClaimNotRun}, boragewick.ErrClaimTaken},
		"not claimed":    {boragewick.Settlement{Workspace: "ws_b", Key: "k", Request: "req_1", Attempt: 1, State: boragewick.ClaimNotRun}, boragewick.ErrUnknownObject},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var c claims.Claims
			_, _ = c.Claim(start, claim("ws_a", "k", "req_1", 1))
			if _, err := c.Settle(start, tt.settlement); !errors.Is(err, tt.err) {
				t.Errorf("got %v, want %v", err, tt.err)
			}
			r, err := c.Claim(start, claim("ws_a", "k", "req_2", 1))
			if err != nil || r.Granted || r.Record.State != boragewick.ClaimOpen {
				t.Errorf("afterwards %+v, %v", r, err)
			}
		})
	}
}

func TestLargeAnswerKeepsItsHead(t *testing.T) {
	var c claims.Claims
	_, _ = c.Claim(start, claim("ws_a", "k", "req_1", 1))
	s := settlement(boragewick.ClaimDone, 1)
	s.Answer.Body = make([]byte, 64<<10+1)
	r, err := c.Settle(start, s)
	if err != nil || !r.Answer.BodyOmitted || r.Answer.Body != nil || r.Answer.Head.Status != 201 {
		t.Errorf("got %+v, %v", r.Answer, err)
	}
	if s.Answer.BodyOmitted {
		t.Error("the caller's answer was changed")
	}
}

func TestMemoryIsBounded(t *testing.T) {
	c := claims.Claims{MaxBytes: 100 << 10}
	claimUntilFull := func(workspace boragewick.ID) (n int) {
		for ; ; n++ {
			_, err := c.Claim(start, claim(workspace, fmt.Sprint(n), "req_1", 1))
			if errors.Is(err, boragewick.ErrOverloaded) && errors.Is(err, boragewick.ErrNotRun) {
				return n
			}
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	if n := claimUntilFull("ws_a"); n < 40 || n > 50 {
		t.Errorf("one workspace has %d records in 25 KiB", n)
	}
	if n := claimUntilFull("ws_b"); n < 40 || n > 50 {
		t.Errorf("the next one has %d", n)
	}
	later := withDeadline(claim("ws_a", "new", "req_1", 1), 25*time.Hour)
	if _, err := c.Claim(start.Add(24*time.Hour), later); err != nil {
		t.Errorf("after the records expired: %v", err)
	}
}

func TestSnapshotRoundTrip(t *testing.T) {
	var c, restored claims.Claims
	for i := range 20 {
		key := fmt.Sprint("key-", 100-i)
		_, _ = c.Claim(start.Add(time.Duration(i)), claim("ws_a", key, "req_1", 1))
		s := settlement(boragewick.ClaimNotRun, 1)
		if i%3 == 0 {
			s = settlement(boragewick.ClaimDone, 1)
		}
		s.Key = key
		_, _ = c.Settle(start, s)
	}
	_, _ = c.Claim(start.Add(time.Second), claim("ws_a", "key-99", "req_2", 1))
	first, err := c.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := restored.Restore(first); err != nil {
		t.Fatal(err)
	}
	for _, at := range []time.Duration{0, 24 * time.Hour, 24*time.Hour + 10, 24*time.Hour + time.Second} {
		last := withDeadline(claim("ws_a", "last", "req_1", 1), 25*time.Hour)
		_, _ = c.Claim(start.Add(at), last)
		_, _ = restored.Claim(start.Add(at), last)
		one, _ := c.Snapshot()
		two, _ := restored.Snapshot()
		if !bytes.Equal(one, two) {
			t.Errorf("states differ after %s", at)
		}
	}
	if err := restored.Restore(first[:len(first)-1]); !errors.Is(err, boragewick.ErrCorrupt) {
		t.Errorf("cut snapshot gave %v", err)
	}
}
