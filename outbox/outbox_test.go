package outbox

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// TestOutbox guards against a run of a receiver that isn't told all that is still of use, and against
// telling a run anything twice.
func TestOutbox(t *testing.T) {
	to, other := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	start := time.Unix(1000, 0)
	type call struct {
		to  netip.AddrPort
		run string
		// at is the time after the start. lost reports whether there is no answer.
		at   time.Duration
		lost bool
		want []int
	}
	tests := map[string]struct {
		items int
		calls []call
	}{
		"told once":                   {3, []call{{to, "1", 0, false, []int{0, 1}}, {to, "1", 0, false, []int{2}}, {to, "1", 0, false, nil}}},
		"each receiver":               {1, []call{{to, "1", 0, false, []int{0}}, {other, "1", 0, false, []int{0}}}},
		"no answer":                   {1, []call{{to, "1", 0, true, []int{0}}, {to, "1", 0, false, []int{0}}}},
		"restarted":                   {2, []call{{to, "1", 0, false, []int{0, 1}}, {to, "2", checkInterval, false, nil}, {to, "2", checkInterval, false, []int{0, 1}}, {to, "2", checkInterval, false, nil}}},
		"restarted while it is told":  {3, []call{{to, "1", 0, false, []int{0, 1}}, {to, "2", 0, false, []int{2}}, {to, "2", 0, false, []int{0, 1}}, {to, "2", 0, false, []int{2}}}},
		"receiver without runs":       {1, []call{{to, "", 0, false, []int{0}}, {to, "", checkInterval, false, nil}, {to, "", checkInterval, false, nil}}},
		"of no more use":              {2, []call{{to, "1", 2 * time.Minute, false, nil}}},
		"of no more use to a new run": {2, []call{{to, "1", 0, false, []int{0, 1}}, {to, "2", 2 * time.Minute, false, nil}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var o Outbox[int]
			for i := range test.items {
				o.Add(i, start.Add(time.Minute))
			}
			for n, c := range test.calls {
				now := start.Add(c.at)
				values, number, due := o.Next(c.to, 2, now)
				if !slices.Equal(values, c.want) || len(values) > 0 && !due {
					t.Fatalf("call %d: %v, due %t, want %v", n, values, due, c.want)
				}
				if !c.lost && due {
					o.Confirm(c.to, boragewick.Incarnation(c.run), number, now)
				}
			}
		})
	}
}

// TestOutboxIsBounded guards against items that fill the memory, and against the newest ones being
// dropped for old ones.
func TestOutboxIsBounded(t *testing.T) {
	var o Outbox[int]
	now := time.Unix(1000, 0)
	for i := range 3 * maxItems {
		o.Add(i, now.Add(time.Minute))
	}
	values, _, _ := o.Next(netip.AddrPort{}, 4*maxItems, now)
	if o.Len() != maxItems || values[0] != 2*maxItems || values[len(values)-1] != 3*maxItems-1 {
		t.Errorf("%d items from %d to %d", o.Len(), values[0], values[len(values)-1])
	}
	o.Confirm(netip.MustParseAddrPort("10.0.0.1:1"), "1", 1, now)
	o.Keep(nil)
	if len(o.receivers) > 0 {
		t.Error("a receiver is kept that is gone")
	}
}
