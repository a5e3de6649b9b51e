package quorum

import (
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/disk"
)

// startInitialVoter starts a replica whose settings list the first members with
// their identities.
func (g *group) startInitialVoter(name string, initialVoters []boragewick.Member) {
	g.t.Helper()
	folder, err := disk.OpenFolder(filepath.Join(g.root, name))
	if err != nil {
		g.t.Fatal(err)
	}
	g.cfg.InitialVoters = initialVoters
	g.cfg.Voters = nil
	g.wrap = nil
	store := disk.New(folder)
	for _, m := range initialVoters {
		if m.Name == name {
			store.FirstIdentity = m.Identity
		}
	}
	if _, err := store.Load(); err != nil {
		g.t.Fatal(err)
	}
	if err := store.Close(); err != nil {
		g.t.Fatal(err)
	}
	g.start(name)
}

func initialVoters() []boragewick.Member {
	var list []boragewick.Member
	for _, name := range []string{"a", "b", "c"} {
		list = append(list, boragewick.Member{Name: name, Identity: boragewick.Identity("founder " + name)})
	}
	return list
}

func TestInitialVotersFormGroupWithoutWaiting(t *testing.T) {
	tests := map[string][]string{
		"all at once":      {"a", "b", "c"},
		"one never starts": {"c", "b"},
	}
	for name, order := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t)
				defer g.stopAll()
				for _, n := range order {
					g.startInitialVoter(n, initialVoters())
					time.Sleep(50 * time.Millisecond)
				}
				g.commit("first")
				for _, n := range order {
					g.eventually(n+" has it", func() bool { return g.hasApplied(n, "first") })
				}
			})
		})
	}
}

// TestInitialVotersRestartTogether guards against equal election timeouts, with
// which replicas that are all stopped and restarted at once split every vote.
func TestInitialVotersRestartTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		defer g.stopAll()
		for _, m := range initialVoters() {
			g.startInitialVoter(m.Name, initialVoters())
		}
		g.commit("before")
		for _, m := range initialVoters() {
			if err := g.stop(m.Name); err != nil {
				t.Fatal(err)
			}
		}
		start := time.Now()
		for _, m := range initialVoters() {
			g.startInitialVoter(m.Name, initialVoters())
		}
		g.commit("after")
		if took := time.Since(start); took > 10*time.Second {
			t.Errorf("first commit %s after the restart", took)
		}
	})
}
