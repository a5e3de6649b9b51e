package boragewick

import (
	"testing"
)

func TestStatusBehind(t *testing.T) {
	old := Revision{Term: 1, Index: 7}
	wanted := Revision{Term: 1, Index: 8}
	tests := map[string]struct {
		instances []InstanceStatus
		behind    bool
	}{
		"all have it":                    {[]InstanceStatus{{Name: "a", InForce: wanted}, {Name: "b", InForce: wanted}}, false},
		"one has an older one":           {[]InstanceStatus{{Name: "a", InForce: wanted}, {Name: "b", InForce: old}}, true},
		"a new leader knows no instance": {nil, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := (&StatusReply{Instances: test.instances}).Behind(wanted)
			if (got != "") != test.behind {
				t.Errorf("instance behind is %q, want one behind: %t", got, test.behind)
			}
		})
	}
}
