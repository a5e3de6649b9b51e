package hosting

import (
	"fmt"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// TestReplacedControlProcesses guards against a group that is lost with its configuration when two
// of three voters are replaced one after the other, though their successors have caught up
// (review/6).
func TestReplacedControlProcesses(t *testing.T) {
	tests := map[string]struct {
		// planned reports whether processes are stopped by plan, and leader whether the leader is
		// the first of them. pause is the time between two of them.
		planned, leader bool
		removed         int
		pause           time.Duration
	}{
		"stopped":             {true, false, 2, time.Second},
		"leader stopped":      {true, true, 2, time.Second},
		"all three stopped":   {true, true, 3, time.Second},
		"stopped in a moment": {true, false, 2, 0},
		"killed":              {false, false, 2, 4 * time.Second},
		"leader killed":       {false, true, 2, 4 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			start := func(i int, first bool) {
				s := d.settings(i, true, false, first)
				s.DataDir, s.CatchUp = filepath.Join(d.root, fmt.Sprint(i)), 4*time.Second
				d.run(i, s)
			}
			for i := range 3 {
				start(i, true)
			}
			d.waitFor(8*time.Second, "published", func() bool { return d.publish(0, 3) })
			for i := range 3 {
				start(3+i, false)
			}
			first := d.leader()
			d.waitFor(8*time.Second, "successors have caught up", func() bool {
				st := d.nodes[first].core.Replica.Status()
				return len(st.Learners) == 3 && d.nodes[3].core.Replica.Status().Applied == st.Applied
			})
			time.Sleep(time.Second)
			order := []int{0, 1, 2}
			at := slices.Index(order, first)
			order[0], order[at] = order[at], order[0]
			if !test.leader {
				slices.Reverse(order)
			}
			for n, i := range order[:test.removed] {
				if n > 0 {
					time.Sleep(test.pause)
				}
				d.end(i, test.planned)
			}
			d.waitFor(12*time.Second, "published", func() bool { return d.publish(5, 4) })
			d.waitFor(8*time.Second, "configuration is read", func() bool { return d.hasConfig(5, 4) })
		})
	}
}
