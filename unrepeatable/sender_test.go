package unrepeatable

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/claims"
	"github.com/boragewick/boragewick/takes"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world is one log, one agent with its endpoint, and a moment in time. The
// endpoint counts what it ran.
type world struct {
	now    time.Time
	claims claims.Claims
	takes  takes.Takes
	runs   map[string]int
	// loseClaim and loseSettle lose answers of the log after the commit;
	// logDown loses the command itself.
	loseClaim, loseSettle, logDown bool
	// before runs between claim and dispatch, after once the endpoint ran.
	before, after func(w *world) error
	// unreachable tells that the agent answers neither dispatch nor revocation.
	unreachable bool
}

var errCut = errors.Mark(errors.New("cut"), boragewick.ErrLinkLost)

func newWorld() *world {
	return &world{now: start, takes: takes.Takes{Agent: "run-1"}, runs: map[string]int{}}
}

func (w *world) Now() time.Time { return w.now }

func (w *world) Claim(_ context.Context, c boragewick.Claim) (boragewick.ClaimResult, error) {
	if w.logDown {
		return boragewick.ClaimResult{}, errCut
	}
	r, err := w.claims.Claim(w.now, c)
	if w.loseClaim {
		return boragewick.ClaimResult{}, errCut
	}
	return r, err
}

func (w *world) Settle(_ context.Context, s boragewick.Settlement) (boragewick.ClaimRecord, error) {
	r, err := w.claims.Settle(w.now, s)
	if w.loseSettle {
		return boragewick.ClaimRecord{}, errCut
	}
	return r, err
}

func (w *world) Revoke(_ context.Context, _ *boragewick.Endpoint, c boragewick.Claim) (boragewick.Revocation, error) {
	if w.unreachable {
		return boragewick.Revocation{}, errCut
	}
	revoked, err := w.takes.Revoke(w.now, c)
	return boragewick.Revocation{Revoked: revoked}, err
}

// Send is the agent: it takes the claim, runs it and settles it.
func (w *world) Send(ctx context.Context, _ *boragewick.Endpoint, r *boragewick.Request, emit boragewick.Emit) error {
	if w.before != nil {
		if err := w.before(w); err != nil {
			return err
		}
	}
	if err := w.takes.Take(w.now, *r.Claim); err != nil {
		return err
	}
	w.runs[r.Claim.Key]++
	if w.after != nil {
		if err := w.after(w); err != nil {
			return err
		}
	}
	answer := boragewick.StoredAnswer{Head: boragewick.Head{Status: 200}, Body: []byte("ran")}
	_, _ = w.Settle(ctx, boragewick.Settlement{
		Workspace: r.Claim.Workspace, Key: r.Claim.Key, Request: r.Claim.Request,
		Attempt: r.Claim.Attempt, State: boragewick.ClaimDone, Answer: &answer,
	})
	return replay(&answer, r, emit)
}

// pay sends one payout and returns its answer's body.
func (w *world) pay(request boragewick.RequestID, body string) (string, error) {
	s := &Sender{Next: w, Claims: w, Revoker: w, Clock: w}
	r := &boragewick.Request{ID: request, Workspace: "ws", Method: "POST", Path: "/payouts", Body: []byte(body)}
	r.Claim = &boragewick.Claim{Workspace: "ws", Key: "payout-17", Request: request}
	var text string
	err := s.Send(context.Background(), &boragewick.Endpoint{Name: "ledger", Incarnation: w.takes.Agent}, r, func(c boragewick.Chunk) error {
		text += string(c.Data)
		return nil
	})
	return text, err
}

func TestRunsAtMostOnce(t *testing.T) {
	cut := func(*world) error { return errCut }
	heal := func(w *world) {
		w.loseClaim, w.loseSettle, w.logDown, w.unreachable = false, false, false, false
		w.before, w.after = nil, nil
	}
	restart := func(w *world) error {
		w.takes = takes.Takes{Agent: "run-2"}
		return nil
	}
	tests := map[string]struct {
		fault func(w *world)
		// first and second are what the first caller and a resend get; nil is the answer.
		first, second error
		// runs is how often the endpoint has run the payout in the end.
		runs int
	}{
		"no fault":                      {runs: 1},
		"log down":                      {fault: func(w *world) { w.logDown = true }, first: boragewick.ErrLinkLost, runs: 1},
		"claim committed, answer lost":  {fault: func(w *world) { w.loseClaim = true }, first: boragewick.ErrLinkLost, second: boragewick.ErrClaimTaken},
		"cut before the agent":          {fault: func(w *world) { w.before = cut }, first: boragewick.ErrNotRun, runs: 1},
		"cut before, agent unreachable": {fault: func(w *world) { w.before, w.unreachable = cut, true }, first: boragewick.ErrOutcomeUnknown, second: boragewick.ErrClaimTaken},
		"agent restarted before":        {fault: func(w *world) { w.before = restart }, first: boragewick.ErrOutcomeUnknown, second: boragewick.ErrClaimTaken},
		"answer lost after the run":     {fault: func(w *world) { w.after = cut }, first: boragewick.ErrOutcomeUnknown, second: boragewick.ErrClaimTaken, runs: 1},
		"settlement answer lost":        {fault: func(w *world) { w.loseSettle = true }, runs: 1},
		"refused as leaving": {
			fault: func(w *world) {
				w.before = func(*world) error { return boragewick.NotRun(boragewick.ErrDraining) }
			},
			first: boragewick.ErrNotRun, runs: 1,
		},
		"refused, settlement answer lost": {
			fault: func(w *world) {
				w.loseSettle = true
				w.before = func(*world) error { return boragewick.NotRun(boragewick.ErrDraining) }
			},
			first: boragewick.ErrNotRun, runs: 1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			if tt.fault != nil {
				tt.fault(w)
			}
			_, err := w.pay("req-1", "17")
			if !errors.Is(err, tt.first) {
				t.Fatalf("first: got %v, want %v", err, tt.first)
			}
			if errors.Is(err, boragewick.ErrNotRun) && w.runs["payout-17"] != 0 {
				t.Errorf("told not run after %d runs", w.runs["payout-17"])
			}
			heal(w)
			text, err := w.pay("req-2", "17")
			if !errors.Is(err, tt.second) {
				t.Fatalf("second: got %v, want %v", err, tt.second)
			}
			if tt.second == nil && text != "ran" {
				t.Errorf("the resend got %q", text)
			}
			if errors.Is(err, boragewick.ErrNotRun) {
				t.Error("the resend was told not run while the first one's end is open")
			}
			if n := w.runs["payout-17"]; n != tt.runs {
				t.Errorf("%d runs, want %d", n, tt.runs)
			}
		})
	}
}

func TestOpenClaimLapsesToUnknown(t *testing.T) {
	w := newWorld()
	w.before, w.unreachable = func(*world) error { return errCut }, true
	if _, err := w.pay("req-1", "17"); !errors.Is(err, boragewick.ErrOutcomeUnknown) {
		t.Fatal(err)
	}
	w.before, w.unreachable = nil, false
	w.now = w.now.Add(time.Hour)
	for _, request := range []boragewick.RequestID{"req-2", "req-3"} {
		if _, err := w.pay(request, "17"); !errors.Is(err, boragewick.ErrOutcomeUnknown) {
			t.Errorf("%s: got %v, want unknown", request, err)
		}
	}
	if n := w.runs["payout-17"]; n != 0 {
		t.Errorf("ran %d times by itself", n)
	}
}

func TestLateDuplicateDoesNotRun(t *testing.T) {
	w := newWorld()
	var late *boragewick.Request
	w.before = func(*world) error { return errCut }
	s := &Sender{Next: boragewick.SenderFunc(func(ctx context.Context, e *boragewick.Endpoint, r *boragewick.Request, emit boragewick.Emit) error {
		if late == nil {
			late = r
		}
		return w.Send(ctx, e, r, emit)
	}), Claims: w, Revoker: w, Clock: w}
	send := func(id boragewick.RequestID) error {
		r := &boragewick.Request{ID: id, Claim: &boragewick.Claim{Workspace: "ws", Key: "k", Request: id}}
		return s.Send(context.Background(), &boragewick.Endpoint{Incarnation: "run-1"}, r, func(boragewick.Chunk) error { return nil })
	}
	if err := send("req-1"); !errors.Is(err, boragewick.ErrNotRun) {
		t.Fatal(err)
	}
	w.before = nil
	if err := send("req-2"); err != nil {
		t.Fatal(err)
	}
	if err := w.Send(context.Background(), nil, late, nil); !errors.Is(err, boragewick.ErrClaimTaken) {
		t.Errorf("the late duplicate: %v", err)
	}
	if w.runs["k"] != 1 {
		t.Errorf("%d runs", w.runs["k"])
	}
}

func TestKeyReuse(t *testing.T) {
	w := newWorld()
	if _, err := w.pay("req-1", "17"); err != nil {
		t.Fatal(err)
	}
	if _, err := w.pay("req-2", "18"); !errors.Is(err, boragewick.ErrKeyReused) {
		t.Errorf("another body: %v", err)
	}
	if w.runs["payout-17"] != 1 {
		t.Errorf("%d runs", w.runs["payout-17"])
	}
}
