package hosting

import (
	"bytes"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/zonespill"
)

// TestZonePolicy guards against zones that are considered although the setting says that they
// are not, or with constants in place of learned times, and against a router that takes all
// endpoints for those of other zones as its own is unknown.
func TestZonePolicy(t *testing.T) {
	tests := map[string]struct {
		cost            time.Duration
		disregard, hold bool
		zone            string
		on, logged      bool
		inAllPools      bool
	}{
		"not set":                      {zone: "z", on: true},
		"off":                          {disregard: true, zone: "z"},
		"on":                           {cost: 30 * time.Millisecond, zone: "z", on: true, inAllPools: true},
		"requests compete for engines": {hold: true, zone: "z", on: true, inAllPools: true},
		"on, the zone is unknown":      {cost: 30 * time.Millisecond, logged: true},
		"not set, the zone is unknown": {logged: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			n := &Node{Settings: boragewick.NodeSettings{FailureDomain: test.zone, HoldRequests: test.hold}, ZoneCost: test.cost, DisregardZones: test.disregard, Logger: log.NewLogfmtLogger(&out)}
			got := n.newZonePolicy()
			if (got != nil) != test.on {
				t.Fatalf("policy %v", got)
			}
			if policy, ok := got.(*zonespill.Policy); ok && (policy.Zone != test.zone || policy.Cost != test.cost) {
				t.Errorf("zone %q, cost %s", policy.Zone, policy.Cost)
			}
			if got != nil && got.Applies(false) != test.inAllPools {
				t.Errorf("applies without learned rates: %t", got.Applies(false))
			}
			if got != nil && !got.Applies(true) {
				t.Error("doesn't apply with learned rates")
			}
			if (out.Len() > 0) != test.logged {
				t.Errorf("logged %q", out.String())
			}
		})
	}
}
