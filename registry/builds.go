package registry

import (
	"maps"
	"slices"

	"github.com/boragewick/boragewick"
)

// maxBuilds is the number of builds of a pool with which endpoints may serve.
const maxBuilds = 256

// applyBuilds returns the builds with the change, or false if it has no effect. The map is
// copied, because callers of State may still be reading the old one.
func applyBuilds(builds map[string][]boragewick.Build, c *boragewick.BuildChange) (map[string][]boragewick.Build, bool) {
	list := slices.DeleteFunc(slices.Clone(builds[c.Pool]), func(b boragewick.Build) bool { return slices.Contains(c.Removed, b) })
	for _, b := range c.Added {
		if len(list) < maxBuilds && !slices.Contains(list, b) {
			list = append(list, b)
		}
	}
	slices.Sort(list)
	if slices.Equal(list, builds[c.Pool]) {
		return nil, false
	}
	builds = maps.Clone(builds)
	if builds == nil {
		builds = map[string][]boragewick.Build{}
	}
	builds[c.Pool] = list
	if len(list) == 0 {
		delete(builds, c.Pool)
	}
	return builds, true
}
