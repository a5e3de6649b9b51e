package registry

import (
	"slices"
	"testing"

	"github.com/boragewick/boragewick"
)

func builds(added, removed []boragewick.Build) boragewick.RegistryCommand {
	return boragewick.RegistryCommand{Builds: &boragewick.BuildChange{Pool: "p", Added: added, Removed: removed}}
}

// TestBuilds covers changes of builds that come twice, and their bound.
func TestBuilds(t *testing.T) {
	many := make([]boragewick.Build, 2*maxBuilds)
	for i := range many {
		many[i] = boragewick.Build(i + 1)
	}
	tests := map[string]struct {
		commands []boragewick.RegistryCommand
		want     []boragewick.Build
		changed  uint64
	}{
		"added":            {[]boragewick.RegistryCommand{builds([]boragewick.Build{2, 1}, nil)}, []boragewick.Build{1, 2}, 1},
		"added twice":      {[]boragewick.RegistryCommand{builds([]boragewick.Build{1, 1}, nil), builds([]boragewick.Build{1}, nil)}, []boragewick.Build{1}, 1},
		"removed":          {[]boragewick.RegistryCommand{builds([]boragewick.Build{1, 2}, nil), builds(nil, []boragewick.Build{1})}, []boragewick.Build{2}, 2},
		"the last removed": {[]boragewick.RegistryCommand{builds([]boragewick.Build{1}, nil), builds(nil, []boragewick.Build{1})}, nil, 2},
		"unknown removed":  {[]boragewick.RegistryCommand{builds(nil, []boragewick.Build{1})}, nil, 0},
		"too many":         {[]boragewick.RegistryCommand{builds(many, nil)}, many[:maxBuilds], 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var r, restored Registry
			for _, c := range test.commands {
				apply(t, &r, c)
			}
			b, err := r.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if err := restored.Restore(b); err != nil {
				t.Fatal(err)
			}
			s, _ := restored.State()
			if !slices.Equal(s.Builds["p"], test.want) || s.Changed != test.changed {
				t.Errorf("%v after %d changes, want %v after %d", s.Builds["p"], s.Changed, test.want, test.changed)
			}
		})
	}
}
