package burn

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

var (
	start  = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)
	series = boragewick.Series{Workspace: "workspace_a", Route: "route_a", Model: "m"}
)

// atMs returns the instant n milliseconds after start.
func atMs(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

// findBurn returns the burn of the objective.
func findBurn(t *testing.T, l boragewick.ServiceLevel, name boragewick.Objective) boragewick.Burn {
	for _, b := range l.Burns {
		if b.Objective == name {
			return b
		}
	}
	t.Fatalf("no objective %s", name)
	return boragewick.Burn{}
}

func TestWatch(t *testing.T) {
	done := func(err error) func(w boragewick.Watch) { return func(w boragewick.Watch) { w.Done(atMs(10), err) } }
	tests := map[string]struct {
		drive     func(w boragewick.Watch)
		objective boragewick.Objective
		total     uint64
		bad       uint64
		cause     boragewick.Cause
	}{
		"first token in time": {func(w boragewick.Watch) {
			w.Sent(atMs(1))
			w.Token(atMs(890))
		}, boragewick.ObjectiveFirstToken, 1, 0, ""},
		"slow queue": {func(w boragewick.Watch) {
			w.Sent(atMs(800))
			w.Token(atMs(891))
		}, boragewick.ObjectiveFirstToken, 1, 1, boragewick.CauseQueue},
		"slow prefill": {func(w boragewick.Watch) {
			w.Sent(atMs(100))
			w.Token(atMs(1000))
		}, boragewick.ObjectiveFirstToken, 1, 1, boragewick.CausePrefill},
		"retried": {func(w boragewick.Watch) {
			w.Sent(atMs(100))
			w.Sent(atMs(900))
			w.Token(atMs(1000))
		}, boragewick.ObjectiveFirstToken, 1, 1, boragewick.CauseRetries},
		"no first token": {func(w boragewick.Watch) {
			w.Sent(atMs(100))
			w.Done(atMs(5000), boragewick.ErrTimeout)
		}, boragewick.ObjectiveFirstToken, 1, 1, boragewick.CausePrefill},
		"gaps": {func(w boragewick.Watch) {
			w.Token(atMs(1))
			w.Token(atMs(65))
			w.Token(atMs(130))
		}, boragewick.ObjectiveBetweenTokens, 2, 1, boragewick.CauseDecode},
		"whole":           {done(nil), boragewick.ObjectiveAvailability, 1, 0, ""},
		"failed":          {done(boragewick.ErrEndpointFailed), boragewick.ObjectiveAvailability, 1, 1, boragewick.CauseEndpoint},
		"refused":         {done(boragewick.NotRun(boragewick.ErrOverloaded)), boragewick.ObjectiveRefusals, 1, 1, boragewick.CauseRefusal},
		"not a failure":   {done(boragewick.NotRun(boragewick.ErrOverloaded)), boragewick.ObjectiveAvailability, 0, 0, boragewick.CauseRefusal},
		"above the rate":  {done(boragewick.NotRun(boragewick.ErrRateExceeded)), boragewick.ObjectiveRefusals, 1, 0, ""},
		"caller's error":  {done(boragewick.NotRun(boragewick.ErrUnknownKey)), boragewick.ObjectiveRefusals, 0, 0, ""},
		"caller canceled": {done(boragewick.ErrCanceled), boragewick.ObjectiveAvailability, 0, 0, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var m Meter
			tt.drive(m.Watch(series, start))
			l := m.Levels(atMs(6000))[0]
			b := findBurn(t, l, tt.objective)
			if b.Total != tt.total || b.Bad != tt.bad {
				t.Errorf("%d of %d bad, want %d of %d", b.Bad, b.Total, tt.bad, tt.total)
			}
			if tt.cause != "" && !hasCause(l, tt.cause) || tt.cause == "" && len(l.Causes) > 0 {
				t.Errorf("causes %+v, want %q", l.Causes, tt.cause)
			}
		})
	}
}

// hasCause reports whether the cause occurred once and no other did except
// endpoint errors.
func hasCause(l boragewick.ServiceLevel, want boragewick.Cause) bool {
	found := false
	for _, c := range l.Causes {
		if c.Cause == want && c.Count == 1 {
			found = true
		} else if c.Cause != boragewick.CauseEndpoint {
			return false
		}
	}
	return found
}

func TestBurnRates(t *testing.T) {
	tests := map[string]struct {
		after  time.Duration
		bad    int
		left   float64
		firing string
	}{
		"all good":        {0, 0, 1, ""},
		"half the budget": {0, 25, 0.5, ""},
		"twice as fast":   {0, 100, -1, "6h/3d"},
		"all bad":         {0, 1000, -19, "5m/1h 30m/6h 2h/1d 6h/3d"},
		"an hour ago":     {time.Hour, 1000, -19, "2h/1d 6h/3d"},
		"a week ago":      {7 * 24 * time.Hour, 1000, 1, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var m Meter
			for i := range 1000 {
				at := start
				if i < tt.bad {
					at = atMs(2000)
				}
				m.Watch(series, start).Token(at)
			}
			b := findBurn(t, m.Levels(start.Add(tt.after + 3*time.Second))[0], boragewick.ObjectiveFirstToken)
			if diff := b.BudgetLeft - tt.left; diff > 1e-9 || diff < -1e-9 {
				t.Errorf("budget left %g, want %g", b.BudgetLeft, tt.left)
			}
			firing := ""
			for _, r := range b.Rates {
				if r.Firing && firing != "" {
					firing += " "
				}
				if r.Firing {
					firing += r.Windows
				}
			}
			if firing != tt.firing {
				t.Errorf("firing %q, want %q", firing, tt.firing)
			}
		})
	}
}

func TestMergeMeters(t *testing.T) {
	var a, b, sum Meter
	other := boragewick.Series{Workspace: "workspace_b"}
	for i := range 100 {
		m := []*Meter{&a, &b}[i%2]
		w := m.Watch(series, start)
		w.Token(atMs(i * 20))
		w.Done(atMs(i*20), nil)
		m.Watch(other, start).Token(atMs(1))
	}
	for _, m := range []*Meter{&a, &b} {
		data, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if err := sum.Merge(data); err != nil {
			t.Fatal(err)
		}
	}
	levels := sum.Levels(atMs(3000))
	if len(levels) != 2 || levels[0].Series != series || levels[0].Requests != 100 {
		t.Fatalf("levels %+v", levels)
	}
	burn := findBurn(t, levels[0], boragewick.ObjectiveFirstToken)
	if burn.Total != 100 || burn.Bad != 55 || levels[0].FirstTokenP95 < 1880 {
		t.Errorf("burn %+v, p95 %g", burn, levels[0].FirstTokenP95)
	}
	if err := sum.Merge([]byte("no meter")); !errors.Is(err, boragewick.ErrCorrupt) {
		t.Errorf("error %v", err)
	}
}

func TestMaxSeries(t *testing.T) {
	m := Meter{MaxSeries: 3}
	for i := range 10 {
		m.Watch(boragewick.Series{Workspace: boragewick.ID(rune('a' + i))}, start).Done(start, nil)
	}
	var requests uint64
	levels := m.Levels(start)
	for _, l := range levels {
		requests += l.Requests
	}
	if len(levels) != 4 || requests != 10 {
		t.Errorf("%d series with %d requests", len(levels), requests)
	}
}
