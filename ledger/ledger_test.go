package ledger_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/ledger"
)

const life = 4 * time.Second

type bench struct {
	*ledger.Ledger
	t      *testing.T
	now    time.Time
	probes uint64
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
	b.now = b.now.Add(time.Second)
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
			want(t, "grant", b.ask(boragewick.GrantRequest{Incarnation: "inc_1", Number: 1, Least: 600, Wanted: 600}).Tokens, 600)
			b.now = b.now.Add(tt.wait)
			b.ask(boragewick.GrantRequest{Incarnation: "inc_1", Number: 2, Returned: tt.returned})
			want(t, "level", b.level(1000), tt.want)
		})
	}
}

// level finds the largest grant that another router would get at once.
func (b *bench) level(most uint64) uint64 {
	b.t.Helper()
	for ; most > 0; most-- {
		b.probes++
		g := b.ask(boragewick.GrantRequest{Incarnation: "inc_probe", Number: b.probes, Least: most, Wanted: most})
		if g.Tokens > 0 {
			return g.Tokens
		}
	}
	return 0
}

func TestHeldTokensStopTheRefill(t *testing.T) {
	b := newBench(t, 100, 1000)
	b.fill()
	b.ask(boragewick.GrantRequest{Incarnation: "inc_1", Number: 1, Least: 1000, Wanted: 1000})
	b.now = b.now.Add(life - 1)
	want(t, "level while all is held", b.level(1000), 0)
	b.now = b.now.Add(1)
	want(t, "level at the expiry", b.level(1000), 0)
	b.now = b.now.Add(time.Second)
	want(t, "level a second later", b.level(1000), 99)
}

func TestNewOwnerWaitsOutOldGrants(t *testing.T) {
	b := newBench(t, 100, 1000)
	b.fill()
	b.Stop()
	_, err := b.Grant(context.Background(), boragewick.GrantRequest{Incarnation: "inc_1", Workspace: "ws_a", Number: 1})
	if !errors.Is(err, boragewick.ErrNotLeader) {
		t.Errorf("stopped owner answered %v", err)
	}
	b.Start(false)
	b.now = b.now.Add(life - 1)
	want(t, "level before the old grants expire", b.level(1000), 0)
	b.now = b.now.Add(time.Second)
	want(t, "level after", b.level(1000), 99)
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
