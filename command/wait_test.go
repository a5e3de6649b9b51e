package command

import (
	"testing"

	"github.com/boragewick/boragewick"
)

func TestHeldBack(t *testing.T) {
	old := boragewick.Revision{Term: 1, Index: 7}
	wanted := boragewick.Revision{Term: 1, Index: 8}
	tests := map[string]struct {
		instances []boragewick.InstanceStatus
		behind    bool
	}{
		"all have it":                    {[]boragewick.InstanceStatus{{Name: "a", InForce: wanted}, {Name: "b", InForce: wanted}}, false},
		"one has an older one":           {[]boragewick.InstanceStatus{{Name: "a", InForce: wanted}, {Name: "b", InForce: old}}, true},
		"a new leader knows no instance": {nil, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := heldBack(&boragewick.StatusReply{Instances: test.instances}, wanted)
			if (got != "") != test.behind {
				t.Errorf("held back by %q, want held back: %t", got, test.behind)
			}
		})
	}
}
