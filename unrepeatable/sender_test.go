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

// testEnv is a claim log, an agent with its endpoint, and a clock. It counts the
// endpoint's runs by key.
type testEnv struct {
	now    time.Time
	claims claims.Claims
	takes  takes.AgentClaims
	runs   map[string]int
	// loseClaimAnswer and loseSettleAnswer drop the log's answer after the
	// commit; logDown drops the command itself.
	loseClaimAnswer, loseSettleAnswer, logDown bool
	// beforeDispatch runs between claim and dispatch, afterRun once the endpoint
	// has run the request.
	beforeDispatch, afterRun func(env *testEnv) error
	// unreachable makes revocations at the agent fail.
	unreachable bool
}

var errCut = errors.Mark(errors.New("cut"), boragewick.ErrLinkLost)

func newTestEnv() *testEnv {
	return &testEnv{now: start, takes: takes.AgentClaims{Agent: "run-1"}, runs: map[string]int{}}
}

func (env *testEnv) Now() time.Time { return env.now }

func (env *testEnv) Claim(_ context.Context, c boragewick.Claim) (boragewick.ClaimResult, error) {
	if env.logDown {
		return boragewick.ClaimResult{}, errCut
	}
	r, err := env.claims.Claim(env.now, c)
	if env.loseClaimAnswer {
		return boragewick.ClaimResult{}, errCut
	}
	return r, err
}

func (env *testEnv) Settle(_ context.Context, s boragewick.Settlement) (boragewick.ClaimRecord, error) {
	r, err := env.claims.Settle(env.now, s)
	if env.loseSettleAnswer {
		return boragewick.ClaimRecord{}, errCut
	}
	return r, err
}

func (env *testEnv) Revoke(_ context.Context, _ *boragewick.Endpoint, c boragewick.Claim) (boragewick.Revocation, error) {
	if env.unreachable {
		return boragewick.Revocation{}, errCut
	}
	revoked, err := env.takes.Revoke(env.now, c)
	return boragewick.Revocation{Revoked: revoked}, err
}

// Send acts as the agent: it takes the claim, runs it and settles it.
func (env *testEnv) Send(ctx context.Context, _ *boragewick.Endpoint, r *boragewick.Request, emit boragewick.Emit) error {
	if env.beforeDispatch != nil {
		if err := env.beforeDispatch(env); err != nil {
			return err
		}
	}
	if err := env.takes.Take(env.now, *r.Claim); err != nil {
		return err
	}
	env.runs[r.Claim.Key]++
	if env.afterRun != nil {
		if err := env.afterRun(env); err != nil {
			return err
		}
	}
	answer := boragewick.StoredAnswer{Head: boragewick.Head{Status: 200}, Body: []byte("ran")}
	_, _ = env.Settle(ctx, boragewick.Settlement{
		Workspace: r.Claim.Workspace, Key: r.Claim.Key, Request: r.Claim.Request,
		Attempt: r.Claim.Attempt, State: boragewick.ClaimDone, Answer: &answer,
	})
	return replay(&answer, r, emit)
}

// pay sends one payout and returns its answer's body.
func (env *testEnv) pay(request boragewick.RequestID, body string) (string, error) {
	s := &Sender{Next: env, Claims: env, Revoker: env, Clock: env}
	r := &boragewick.Request{ID: request, Workspace: "ws", Method: "POST", Path: "/payouts", Body: []byte(body)}
	r.Claim = &boragewick.Claim{Workspace: "ws", Key: "payout-17", Request: request}
	var text string
	err := s.Send(context.Background(), &boragewick.Endpoint{Name: "ledger", Incarnation: env.takes.Agent}, r, func(c boragewick.Chunk) error {
		text += string(c.Data)
		return nil
	})
	return text, err
}

func TestRunsAtMostOnce(t *testing.T) {
	failWithCut := func(*testEnv) error { return errCut }
	clearFaults := func(env *testEnv) {
		env.loseClaimAnswer, env.loseSettleAnswer, env.logDown, env.unreachable = false, false, false, false
		env.beforeDispatch, env.afterRun = nil, nil
	}
	restart := func(env *testEnv) error {
		env.takes = takes.AgentClaims{Agent: "run-2"}
		return nil
	}
	tests := map[string]struct {
		fault func(env *testEnv)
		// first and second are the errors that the first request and a resend get;
		// nil stands for an answer.
		first, second error
		// runs is how often the endpoint has run the payout in the end.
		runs int
	}{
		"no fault":                      {runs: 1},
		"log down":                      {fault: func(env *testEnv) { env.logDown = true }, first: boragewick.ErrLinkLost, runs: 1},
		"claim committed, answer lost":  {fault: func(env *testEnv) { env.loseClaimAnswer = true }, first: boragewick.ErrLinkLost, second: boragewick.ErrClaimTaken},
		"cut before the agent":          {fault: func(env *testEnv) { env.beforeDispatch = failWithCut }, first: boragewick.ErrNotRun, runs: 1},
		"cut before, agent unreachable": {fault: func(env *testEnv) { env.beforeDispatch, env.unreachable = failWithCut, true }, first: boragewick.ErrOutcomeUnknown, second: boragewick.ErrClaimTaken},
		"agent restarted before":        {fault: func(env *testEnv) { env.beforeDispatch = restart }, first: boragewick.ErrOutcomeUnknown, second: boragewick.ErrClaimTaken},
		"answer lost after the run":     {fault: func(env *testEnv) { env.afterRun = failWithCut }, first: boragewick.ErrOutcomeUnknown, second: boragewick.ErrClaimTaken, runs: 1},
		"settlement answer lost":        {fault: func(env *testEnv) { env.loseSettleAnswer = true }, runs: 1},
		"refused as leaving": {
			fault: func(env *testEnv) {
				env.beforeDispatch = func(*testEnv) error { return boragewick.NotRun(boragewick.ErrDraining) }
			},
			first: boragewick.ErrNotRun, runs: 1,
		},
		"refused, settlement answer lost": {
			fault: func(env *testEnv) {
				env.loseSettleAnswer = true
				env.beforeDispatch = func(*testEnv) error { return boragewick.NotRun(boragewick.ErrDraining) }
			},
			first: boragewick.ErrNotRun, runs: 1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv()
			if tt.fault != nil {
				tt.fault(env)
			}
			_, err := env.pay("req-1", "17")
			if !errors.Is(err, tt.first) {
				t.Fatalf("first: got %v, want %v", err, tt.first)
			}
			if errors.Is(err, boragewick.ErrNotRun) && env.runs["payout-17"] != 0 {
				t.Errorf("told not run after %d runs", env.runs["payout-17"])
			}
			clearFaults(env)
			text, err := env.pay("req-2", "17")
			if !errors.Is(err, tt.second) {
				t.Fatalf("second: got %v, want %v", err, tt.second)
			}
			if tt.second == nil && text != "ran" {
				t.Errorf("the resend got %q", text)
			}
			if errors.Is(err, boragewick.ErrNotRun) {
				t.Error("the resend was told not run while the first one's end is open")
			}
			if n := env.runs["payout-17"]; n != tt.runs {
				t.Errorf("%d runs, want %d", n, tt.runs)
			}
		})
	}
}

func TestOverdueOpenClaimBecomesUnknown(t *testing.T) {
	env := newTestEnv()
	env.beforeDispatch, env.unreachable = func(*testEnv) error { return errCut }, true
	if _, err := env.pay("req-1", "17"); !errors.Is(err, boragewick.ErrOutcomeUnknown) {
		t.Fatal(err)
	}
	env.beforeDispatch, env.unreachable = nil, false
	env.now = env.now.Add(time.Hour)
	for _, request := range []boragewick.RequestID{"req-2", "req-3"} {
		if _, err := env.pay(request, "17"); !errors.Is(err, boragewick.ErrOutcomeUnknown) {
			t.Errorf("%s: got %v, want unknown", request, err)
		}
	}
	if n := env.runs["payout-17"]; n != 0 {
		t.Errorf("ran %d times by itself", n)
	}
}

func TestLateDuplicateDoesNotRun(t *testing.T) {
	env := newTestEnv()
	var late *boragewick.Request
	env.beforeDispatch = func(*testEnv) error { return errCut }
	s := &Sender{Next: boragewick.SenderFunc(func(ctx context.Context, e *boragewick.Endpoint, r *boragewick.Request, emit boragewick.Emit) error {
		if late == nil {
			late = r
		}
		return env.Send(ctx, e, r, emit)
	}), Claims: env, Revoker: env, Clock: env}
	send := func(id boragewick.RequestID) error {
		r := &boragewick.Request{ID: id, Claim: &boragewick.Claim{Workspace: "ws", Key: "k", Request: id}}
		return s.Send(context.Background(), &boragewick.Endpoint{Incarnation: "run-1"}, r, func(boragewick.Chunk) error { return nil })
	}
	if err := send("req-1"); !errors.Is(err, boragewick.ErrNotRun) {
		t.Fatal(err)
	}
	env.beforeDispatch = nil
	if err := send("req-2"); err != nil {
		t.Fatal(err)
	}
	if err := env.Send(context.Background(), nil, late, nil); !errors.Is(err, boragewick.ErrClaimTaken) {
		t.Errorf("the late duplicate: %v", err)
	}
	if env.runs["k"] != 1 {
		t.Errorf("%d runs", env.runs["k"])
	}
}

func TestKeyReuse(t *testing.T) {
	env := newTestEnv()
	if _, err := env.pay("req-1", "17"); err != nil {
		t.Fatal(err)
	}
	if _, err := env.pay("req-2", "18"); !errors.Is(err, boragewick.ErrKeyReused) {
		t.Errorf("another body: %v", err)
	}
	if env.runs["payout-17"] != 1 {
		t.Errorf("%d runs", env.runs["payout-17"])
	}
}
