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
	life   = 4 * time.Second
	urgent = 500 * time.Millisecond
)

type bench struct {
	*ledger.Ledger
	t          *testing.T
	now        time.Time
	probes     uint64
	generation uint64 // of the last probe
}

func newBench(t *testing.T, rate, burst uint64) *bench {
	b := &bench{t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	b.Ledger = ledger.New(boragewick.ClockFunc(func() time.Time { return b.now }))
	b.setRate(rate, burst)
	b.Start(false)
	return b
}

func (b *bench) setRate(rate, burst uint64) {
	b.SetRates([]boragewick.Rate{{Workspace: "ws_a", TokensPerSecond: rate, Burst: burst}})
}

func (b *bench) ask(r boragewick.GrantRequest) boragewick.Grant {
	b.t.Helper()
	r.Workspace = "ws_a"
	r.WaitMillis = 60_000
	g, err := b.Grant(context.Background(), r)
	if err != nil {
		b.t.Fatal(err)
	}
	return g
}

// fill lets the allowance refill to the burst.
func (b *bench) fill() { b.now = b.now.Add(time.Hour) }

func want(t *testing.T, what string, got, wanted uint64) {
	t.Helper()
	if got != wanted {
		t.Errorf("%s %d, want %d", what, got, wanted)
	}
}

func TestGrantIsIdempotent(t *testing.T) {
	b := newBench(t, 100, 1000)
	b.fill()
	r := boragewick.GrantRequest{Incarnation: "inc_1", Number: 1, Least: 600, Wanted: 600}
	first := b.ask(r)
	b.now = b.now.Add(urgent - 1)
	if again := b.ask(r); again != first {
		t.Errorf("resend got %+v, want %+v", again, first)
	}
	want(t, "other router", b.ask(boragewick.GrantRequest{Incarnation: "inc_2", Number: 1, Least: 401, Wanted: 401}).Tokens, 0)
	_, err := b.Grant(context.Background(), boragewick.GrantRequest{Incarnation: "inc_1", Workspace: "ws_a", Number: 0})
	if !errors.Is(err, boragewick.ErrProtocol) {
		t.Errorf("older number got %v", err)
	}
}

func TestReturns(t *testing.T) {
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
		"after expiry":      {life, 600, 1000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 100, 1000)
			b.fill()
			g := b.ask(boragewick.GrantRequest{Incarnation: "inc_1", Number: 1, Least: 600, Wanted: 600})
			want(t, "grant", g.Tokens, 600)
			b.now = b.now.Add(tt.wait)
			settled := []boragewick.SettledTokens{{Generation: g.Generation, Returned: tt.returned}}
			b.ask(boragewick.GrantRequest{Incarnation: "inc_1", Number: 2, Settled: settled})
			want(t, "level", b.level(1000), tt.want)
		})
	}
}

// TestOldReturnsNeverStandForLaterSpending returns tokens after the allowance
// had refilled without them, while as many were spent since.
func TestOldReturnsNeverStandForLaterSpending(t *testing.T) {
	b := newBench(t, 1000, 1000)
	b.fill()
	old := b.ask(boragewick.GrantRequest{Incarnation: "inc_1", Number: 1, Least: 400, Wanted: 400})
	b.ask(boragewick.GrantRequest{Incarnation: "inc_1", Number: 2})
	b.now = b.now.Add(500 * time.Millisecond)
	b.ask(boragewick.GrantRequest{Incarnation: "inc_1", Number: 3, Least: 1000, Wanted: 1000})
	settled := []boragewick.SettledTokens{{Generation: old.Generation, Returned: 400}}
	b.ask(boragewick.GrantRequest{Incarnation: "inc_1", Number: 4, Settled: settled})
	want(t, "level", b.level(1000), 0)
}

// room tells the level and leaves it as it is.
func (b *bench) room() uint64 {
	b.t.Helper()
	level := b.level(1000)
	b.probes++
	b.ask(boragewick.GrantRequest{Incarnation: "inc_probe", Number: b.probes, Settled: []boragewick.SettledTokens{{Generation: b.generation, Returned: level}}})
	return level
}

// level finds the largest grant that another router would get at once.
func (b *bench) level(most uint64) uint64 {
	b.t.Helper()
	for ; most > 0; most-- {
		b.probes++
		g := b.ask(boragewick.GrantRequest{Incarnation: "inc_probe", Number: b.probes, Least: most, Wanted: most})
		if g.Tokens > 0 {
			b.generation = g.Generation
			return g.Tokens
		}
	}
	return 0
}

func TestHeldTokensStopTheRefill(t *testing.T) {
	tests := map[string]struct {
		request boragewick.GrantRequest
		life    time.Duration
		left    uint64
	}{
		"for waiting requests":  {boragewick.GrantRequest{Least: 1000, Wanted: 1000}, urgent, 0},
		"for expected requests": {boragewick.GrantRequest{Wanted: 1000}, life, 500},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 100, 1000)
			b.fill()
			tt.request.Incarnation = "inc_1"
			tt.request.Number = 1
			b.ask(tt.request)
			expires := b.now.Add(tt.life)
			b.now = expires.Add(-1)
			want(t, "room while it is held", b.room(), tt.left)
			b.now = expires
			want(t, "room at the expiry", b.room(), tt.left)
			b.now = expires.Add(time.Second)
			want(t, "room a second later", b.room(), tt.left+99)
		})
	}
}

// TestNewOwner checks what a new owner may grant: nothing while all of the
// burst may be spent, half of it while so much may be held, all of it then.
func TestNewOwner(t *testing.T) {
	tests := map[string]struct {
		rate  uint64
		after time.Duration
		want  uint64
	}{
		"while urgent grants last":    {1000, urgent, 0},
		"refills from then on":        {1000, urgent + 300*time.Millisecond, 299},
		"half of the burst":           {1000, life, 500},
		"all of it":                   {1000, life + 600*time.Millisecond, 1000},
		"little by little":            {100, life + time.Second, 449},
		"more than the half by then":  {1000, life + 100*time.Millisecond, 599},
		"far later, asked only then":  {1000, time.Hour, 1000},
		"just before the half is due": {1000, urgent + 1, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, tt.rate, 1000)
			b.fill()
			b.Stop()
			_, err := b.Grant(context.Background(), boragewick.GrantRequest{Incarnation: "inc_1", Workspace: "ws_a", Number: 1})
			if !errors.Is(err, boragewick.ErrNotLeader) {
				t.Errorf("stopped owner answered %v", err)
			}
			b.Start(false)
			b.now = b.now.Add(tt.after)
			want(t, "room", b.room(), tt.want)
		})
	}
}

// TestExpiredTokensRefillFromTheirExpiry lets nobody ask until long after.
func TestExpiredTokensRefillFromTheirExpiry(t *testing.T) {
	b := newBench(t, 100, 1000)
	b.fill()
	b.ask(boragewick.GrantRequest{Incarnation: "inc_1", Number: 1, Least: 1000, Wanted: 1000})
	b.now = b.now.Add(urgent + 2*time.Second)
	want(t, "room", b.room(), 199)
}

// TestLostShortGrantLeavesTheOldOne has a router miss a grant that is shorter
// than the one before; it holds the old tokens for the old time.
func TestLostShortGrantLeavesTheOldOne(t *testing.T) {
	b := newBench(t, 1, 1000)
	b.fill()
	b.ask(boragewick.GrantRequest{Incarnation: "inc_1", Number: 1, Wanted: 400})
	first := b.now
	b.now = b.now.Add(time.Second)
	g := b.ask(boragewick.GrantRequest{Incarnation: "inc_1", Number: 2, Least: 600, Wanted: 600, Held: 400})
	if g.Tokens != 600 || !g.Expires.Equal(b.now.Add(urgent)) {
		t.Errorf("got %d tokens until %s", g.Tokens, g.Expires)
	}
	b.now = first.Add(life - 1)
	want(t, "room while the old tokens may be spent", b.room(), 0)
	b.now = first.Add(life + 2*time.Second)
	want(t, "room two seconds after", b.room(), 1)
}

func TestRateChangesApplyAtOnce(t *testing.T) {
	b := newBench(t, 100, 1000)
	b.fill()
	b.setRate(10, 50)
	want(t, "level after the burst shrank", b.level(1000), 50)
	b.SetRates(nil)
	_, err := b.Grant(context.Background(), boragewick.GrantRequest{Incarnation: "inc_1", Workspace: "ws_a", Number: 1})
	if !errors.Is(err, boragewick.ErrUnknownObject) {
		t.Errorf("removed workspace got %v", err)
	}
	b.setRate(100, 1000)
	want(t, "level after the rate came back", b.level(1000), 0)
}

func TestWaitingRoutersAreServedInOrder(t *testing.T) {
	b := newBench(t, 100, 1000)
	b.fill()
	b.ask(boragewick.GrantRequest{Incarnation: "inc_0", Number: 1, Least: 1000, Wanted: 1000})
	b.ask(boragewick.GrantRequest{Incarnation: "inc_0", Number: 2})
	first := b.ask(boragewick.GrantRequest{Incarnation: "inc_1", Number: 1, Least: 300, Wanted: 900})
	second := b.ask(boragewick.GrantRequest{Incarnation: "inc_2", Number: 1, Least: 10, Wanted: 10})
	want(t, "first at once", first.Tokens, 0)
	b.now = second.Available
	want(t, "second before the first asks again", b.ask(boragewick.GrantRequest{Incarnation: "inc_2", Number: 2, Least: 10, Wanted: 10}).Tokens, 10)
	b.now = first.Available
	first = b.ask(boragewick.GrantRequest{Incarnation: "inc_1", Number: 2, Least: 300, Wanted: 900})
	if first.Tokens < 300 {
		t.Errorf("first got %d, want at least 300", first.Tokens)
	}
}
