package ledger_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/ledger"
)

const (
	grantTTL      = 4 * time.Second
	shortGrantTTL = 500 * time.Millisecond
)

type fixture struct {
	*ledger.Ledger
	t          *testing.T
	now        time.Time
	probes     uint64
	generation uint64 // of the last probe
}

func newFixture(t *testing.T, rate, burst uint64) *fixture {
	f := &fixture{t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	f.Ledger = ledger.New(boragewick.ClockFunc(func() time.Time { return f.now }))
	f.setRate(rate, burst)
	f.Start(false)
	return f
}

func (f *fixture) setRate(rate, burst uint64) {
	f.SetRates([]boragewick.Rate{{Workspace: "ws_a", TokensPerSecond: rate, Burst: burst}})
}

func (f *fixture) mustGrant(r boragewick.GrantRequest) boragewick.Grant {
	f.t.Helper()
	r.Workspace = "ws_a"
	r.WaitMillis = 60_000
	g, err := f.Grant(context.Background(), r)
	if err != nil {
		f.t.Fatal(err)
	}
	return g
}

// refillFully advances the clock until the allowance has refilled to the burst.
func (f *fixture) refillFully() { f.now = f.now.Add(time.Hour) }

func checkTokens(t *testing.T, what string, got, want uint64) {
	t.Helper()
	if got != want {
		t.Errorf("%s %d, want %d", what, got, want)
	}
}

func TestGrantIsIdempotent(t *testing.T) {
	f := newFixture(t, 100, 1000)
	f.refillFully()
	r := boragewick.GrantRequest{Incarnation: "inc_1", Number: 1, Least: 600, Wanted: 600}
	first := f.mustGrant(r)
	f.now = f.now.Add(shortGrantTTL - 1)
	if again := f.mustGrant(r); again != first {
		t.Errorf("resend got %+v, want %+v", again, first)
	}
	checkTokens(t, "other router", f.mustGrant(boragewick.GrantRequest{Incarnation: "inc_2", Number: 1, Least: 401, Wanted: 401}).Tokens, 0)
	_, err := f.Grant(context.Background(), boragewick.GrantRequest{Incarnation: "inc_1", Workspace: "ws_a", Number: 0})
	if !errors.Is(err, boragewick.ErrProtocol) {
		t.Errorf("older number got %v", err)
	}
}

func TestReturnedTokens(t *testing.T) {
	tests := map[string]struct {
		wait     time.Duration
		returned uint64
		want     uint64
	}{
		"as granted":        {0, 600, 1000},
		"more than granted": {0, 5000, 1000},
		"part":              {0, 100, 500},
		"none":              {0, 0, 400},
		"after refill":      {3 * time.Second, 600, 1000},
		"after expiry":      {grantTTL, 600, 1000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 100, 1000)
			f.refillFully()
			g := f.mustGrant(boragewick.GrantRequest{Incarnation: "inc_1", Number: 1, Least: 600, Wanted: 600})
			checkTokens(t, "grant", g.Tokens, 600)
			f.now = f.now.Add(tt.wait)
			settled := []boragewick.SettledTokens{{Generation: g.Generation, Returned: tt.returned}}
			f.mustGrant(boragewick.GrantRequest{Incarnation: "inc_1", Number: 2, Settled: settled})
			checkTokens(t, "level", f.drainLevel(1000), tt.want)
		})
	}
}

// TestLateReturnDoesNotOffsetLaterSpending returns old tokens after the
// allowance has refilled without them and as many were spent again.
func TestLateReturnDoesNotOffsetLaterSpending(t *testing.T) {
	f := newFixture(t, 1000, 1000)
	f.refillFully()
	old := f.mustGrant(boragewick.GrantRequest{Incarnation: "inc_1", Number: 1, Least: 400, Wanted: 400})
	f.mustGrant(boragewick.GrantRequest{Incarnation: "inc_1", Number: 2})
	f.now = f.now.Add(500 * time.Millisecond)
	f.mustGrant(boragewick.GrantRequest{Incarnation: "inc_1", Number: 3, Least: 1000, Wanted: 1000})
	settled := []boragewick.SettledTokens{{Generation: old.Generation, Returned: 400}}
	f.mustGrant(boragewick.GrantRequest{Incarnation: "inc_1", Number: 4, Settled: settled})
	checkTokens(t, "level", f.drainLevel(1000), 0)
}

// peekLevel returns the level and leaves it unchanged.
func (f *fixture) peekLevel() uint64 {
	f.t.Helper()
	level := f.drainLevel(1000)
	f.probes++
	f.mustGrant(boragewick.GrantRequest{Incarnation: "inc_probe", Number: f.probes, Settled: []boragewick.SettledTokens{{Generation: f.generation, Returned: level}}})
	return level
}

// drainLevel takes the largest grant that another router gets at once.
func (f *fixture) drainLevel(limit uint64) uint64 {
	f.t.Helper()
	for ; limit > 0; limit-- {
		f.probes++
		g := f.mustGrant(boragewick.GrantRequest{Incarnation: "inc_probe", Number: f.probes, Least: limit, Wanted: limit})
		if g.Tokens > 0 {
			f.generation = g.Generation
			return g.Tokens
		}
	}
	return 0
}

func TestHeldTokensBlockRefill(t *testing.T) {
	tests := map[string]struct {
		request boragewick.GrantRequest
		ttl     time.Duration
		left    uint64
	}{
		"for waiting requests":  {boragewick.GrantRequest{Least: 1000, Wanted: 1000}, shortGrantTTL, 0},
		"for expected requests": {boragewick.GrantRequest{Wanted: 1000}, grantTTL, 500},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 100, 1000)
			f.refillFully()
			tt.request.Incarnation = "inc_1"
			tt.request.Number = 1
			f.mustGrant(tt.request)
			expires := f.now.Add(tt.ttl)
			f.now = expires.Add(-1)
			checkTokens(t, "room while it is held", f.peekLevel(), tt.left)
			f.now = expires
			checkTokens(t, "room at the expiry", f.peekLevel(), tt.left)
			f.now = expires.Add(time.Second)
			checkTokens(t, "room a second later", f.peekLevel(), tt.left+99)
		})
	}
}

// TestNewOwner checks what a new owner may grant: nothing while the previous
// owner's grants may cover all of the burst, half of it while they may cover
// half, and all of it afterwards.
func TestNewOwner(t *testing.T) {
	tests := map[string]struct {
		rate  uint64
		after time.Duration
		want  uint64
	}{
		"while short grants last":     {1000, shortGrantTTL, 0},
		"refills from then on":        {1000, shortGrantTTL + 300*time.Millisecond, 299},
		"half of the burst":           {1000, grantTTL, 500},
		"all of it":                   {1000, grantTTL + 600*time.Millisecond, 1000},
		"little by little":            {100, grantTTL + time.Second, 449},
		"more than the half by then":  {1000, grantTTL + 100*time.Millisecond, 599},
		"far later, asked only then":  {1000, time.Hour, 1000},
		"just before the half is due": {1000, shortGrantTTL + 1, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, tt.rate, 1000)
			f.refillFully()
			f.Stop()
			_, err := f.Grant(context.Background(), boragewick.GrantRequest{Incarnation: "inc_1", Workspace: "ws_a", Number: 1})
			if !errors.Is(err, boragewick.ErrNotLeader) {
				t.Errorf("stopped owner answered %v", err)
			}
			f.Start(false)
			f.now = f.now.Add(tt.after)
			checkTokens(t, "room", f.peekLevel(), tt.want)
		})
	}
}

// TestRefillCountsFromExpiry has no request arrive until long after a grant has
// expired.
func TestRefillCountsFromExpiry(t *testing.T) {
	f := newFixture(t, 100, 1000)
	f.refillFully()
	f.mustGrant(boragewick.GrantRequest{Incarnation: "inc_1", Number: 1, Least: 1000, Wanted: 1000})
	f.now = f.now.Add(shortGrantTTL + 2*time.Second)
	checkTokens(t, "room", f.peekLevel(), 199)
}

// TestLostShortGrantKeepsEarlierExpiry has a router miss a grant that is shorter
// than the one before: it may still spend the old tokens until their expiry.
func TestLostShortGrantKeepsEarlierExpiry(t *testing.T) {
	f := newFixture(t, 1, 1000)
	f.refillFully()
	f.mustGrant(boragewick.GrantRequest{Incarnation: "inc_1", Number: 1, Wanted: 400})
	first := f.now
	f.now = f.now.Add(time.Second)
	g := f.mustGrant(boragewick.GrantRequest{Incarnation: "inc_1", Number: 2, Least: 600, Wanted: 600, Held: 400})
	if g.Tokens != 600 || !g.Expires.Equal(f.now.Add(shortGrantTTL)) {
		t.Errorf("got %d tokens until %s", g.Tokens, g.Expires)
	}
	f.now = first.Add(grantTTL - 1)
	checkTokens(t, "room while the old tokens may be spent", f.peekLevel(), 0)
	f.now = first.Add(grantTTL + 2*time.Second)
	checkTokens(t, "room two seconds after", f.peekLevel(), 1)
}

func TestRateChangeTakesEffectAtOnce(t *testing.T) {
	f := newFixture(t, 100, 1000)
	f.refillFully()
	f.setRate(10, 50)
	checkTokens(t, "level after the burst shrank", f.drainLevel(1000), 50)
	f.SetRates(nil)
	_, err := f.Grant(context.Background(), boragewick.GrantRequest{Incarnation: "inc_1", Workspace: "ws_a", Number: 1})
	if !errors.Is(err, boragewick.ErrUnknownObject) {
		t.Errorf("removed workspace got %v", err)
	}
	f.setRate(100, 1000)
	checkTokens(t, "level after the rate came back", f.drainLevel(1000), 0)
}

func TestWaitingRoutersAreServedInOrder(t *testing.T) {
	f := newFixture(t, 100, 1000)
	f.refillFully()
	f.mustGrant(boragewick.GrantRequest{Incarnation: "inc_0", Number: 1, Least: 1000, Wanted: 1000})
	f.mustGrant(boragewick.GrantRequest{Incarnation: "inc_0", Number: 2})
	first := f.mustGrant(boragewick.GrantRequest{Incarnation: "inc_1", Number: 1, Least: 300, Wanted: 900})
	second := f.mustGrant(boragewick.GrantRequest{Incarnation: "inc_2", Number: 1, Least: 10, Wanted: 10})
	checkTokens(t, "first at once", first.Tokens, 0)
	f.now = second.Available
	checkTokens(t, "second before the first asks again", f.mustGrant(boragewick.GrantRequest{Incarnation: "inc_2", Number: 2, Least: 10, Wanted: 10}).Tokens, 10)
	f.now = first.Available
	first = f.mustGrant(boragewick.GrantRequest{Incarnation: "inc_1", Number: 2, Least: 300, Wanted: 900})
	if first.Tokens < 300 {
		t.Errorf("first got %d, want at least 300", first.Tokens)
	}
}
