package allowance

import (
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// TestGrantsExpireEarly checks that the life of a grant counts from when it
// was asked for and ends before the owner's by what the clocks may drift.
func TestGrantsExpireEarly(t *testing.T) {
	const life = 4 * time.Second
	tests := map[string]struct {
		answered, taken time.Duration // since the request was sent
		want            bool
	}{
		"at once":                {0, time.Millisecond, true},
		"answered late":          {3 * time.Second, 3900 * time.Millisecond, true},
		"just before the margin": {time.Millisecond, life - life/500 - 1, true},
		"within the margin":      {time.Millisecond, life - life/500, false},
		"counted from the send":  {3 * time.Second, life, false},
		"answered too late":      {life, life, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sent := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			a := newAccount("r1", "inc_1", "ws_a")
			if _, err := a.join(sent, 10, sent.Add(time.Minute)); err != nil {
				t.Fatal(err)
			}
			r, ok := a.next(sent)
			if !ok {
				t.Fatal("nothing was sent")
			}
			// The owner's clock is far off.
			owner := sent.Add(-time.Hour)
			answered := sent.Add(tt.answered)
			a.apply(answered, boragewick.Grant{Number: r.Number, Tokens: 30, Now: owner, Expires: owner.Add(life), Generation: 7, Burst: 100})
			a.waiters = nil
			_, got := a.takeAtOnce(sent.Add(tt.taken), 10)
			if got != tt.want {
				t.Errorf("taken %t, want %t", got, tt.want)
			}
			a.expire(sent.Add(life))
			var returned uint64
			for _, s := range a.settled {
				returned += s.Returned
			}
			if returned == 0 || a.inHand() != 0 {
				t.Errorf("%d returned and %d in hand after the expiry", returned, a.inHand())
			}
		})
	}
}

// TestRetriesSlowDown checks the waits between sends of one request to an
// owner that does not answer, and that it stays the same request.
func TestRetriesSlowDown(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	a := newAccount("r1", "inc_1", "ws_a")
	if _, err := a.join(now, 10, now.Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	for i, want := range []time.Duration{50, 100, 200, 400, 400} {
		r, ok := a.next(now)
		if !ok || r.Number != 1 {
			t.Fatalf("send %d: number %d, %t", i, r.Number, ok)
		}
		a.fail(now, boragewick.ErrLinkLost)
		if wait := a.wakeAt(now).Sub(now); wait != want*time.Millisecond {
			t.Errorf("after send %d: %s, want %d ms", i, wait, want)
		}
		now = a.wakeAt(now)
	}
}
