package quorum

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
)

// commit proposes the command until a replica acknowledges it.
func (g *group) commit(command string) {
	g.t.Helper()
	for range 600 {
		g.mu.Lock()
		var leader *runningNode
		for _, r := range g.nodes {
			if r.Status().Leading {
				leader = r
			}
		}
		g.mu.Unlock()
		if leader != nil && g.propose(leader, command) == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	g.t.Fatalf("%s was not committed", command)
}

// propose gives the replica two seconds to commit the command.
func (g *group) propose(r *runningNode, command string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := r.Propose(ctx, []byte(command))
	return err
}

// eventually waits until the condition holds.
func (g *group) eventually(what string, holds func() bool) {
	g.t.Helper()
	for range 1000 {
		if holds() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	g.t.Fatalf("not within 50 s: %s", what)
}

// hasApplied reports whether the replica has applied the commands.
func (g *group) hasApplied(name string, commands ...string) bool {
	list := g.nodes[name].machine.list()
	for _, command := range commands {
		if !slices.Contains(list, command) {
			return false
		}
	}
	return true
}

// requireNoCommit checks that no running replica commits the command.
func (g *group) requireNoCommit(command string) {
	g.t.Helper()
	for range 5 {
		time.Sleep(time.Second)
		for name, r := range g.nodes {
			if err := g.propose(r, command); err == nil {
				g.t.Fatalf("%s committed without a quorum", name)
			}
		}
	}
}

func numberedCommands(prefix string, n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("%s%d", prefix, i))
	}
	return list
}

func TestEachReplicaRestartsDuringProposals(t *testing.T) {
	for _, stopLeader := range []bool{false, true} {
		t.Run(fmt.Sprintf("stop leader %t", stopLeader), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, "a", "b", "c")
				g.cfg.SnapshotEntries = 40
				defer g.stopAll()
				for _, name := range g.cfg.Voters {
					g.start(name)
				}
				list := numberedCommands("w", 300)
				for i, command := range list {
					g.commit(command)
					if i%20 != 19 {
						continue
					}
					name := g.cfg.Voters[i/20%3]
					if name == g.leader().cfg.Name && !stopLeader {
						continue
					}
					if err := g.stop(name); err != nil {
						t.Fatal(err)
					}
					g.commit(command + "-without-" + name)
					g.start(name)
				}
				for _, name := range g.cfg.Voters {
					g.eventually(name+" has all", func() bool { return g.hasApplied(name, list...) })
				}
			})
		})
	}
}

func TestTwoReplicasStoppedAndOneRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		for _, name := range g.cfg.Voters {
			g.start(name)
		}
		g.commit("before")
		stopped := []string{"a", "b"}
		for _, name := range stopped {
			if err := g.stop(name); err != nil {
				t.Fatal(err)
			}
		}
		g.requireNoCommit("between")
		g.start("a")
		g.commit("after")
		g.eventually("a and c have both", func() bool {
			return g.hasApplied("a", "before", "after") && g.hasApplied("c", "before", "after")
		})
	})
}

func TestWipedReplicaMustBeAddedAgain(t *testing.T) {
	tests := map[string]string{"first voter, which forms groups": "a", "last voter": "c"}
	for name, wiped := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { wipeAndAdd(t, wiped) })
		})
	}
}

// wipeAndAdd wipes the disk of one of three replicas. The replica must not vote
// until it is removed, added again and promoted.
func wipeAndAdd(t *testing.T, wiped string) {
	g := newGroup(t, "a", "b", "c")
	g.cfg.SnapshotEntries = 30
	defer g.stopAll()
	for _, name := range g.cfg.Voters {
		g.start(name)
	}
	for _, command := range numberedCommands("w", 100) {
		g.commit(command)
	}
	for _, name := range []string{"b", wiped} {
		if err := g.stop(name); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.RemoveAll(filepath.Join(g.root, wiped)); err != nil {
		t.Fatal(err)
	}
	g.start(wiped)
	g.requireNoCommit("without b")
	if n := len(g.nodes[wiped].machine.list()); n != 0 {
		t.Errorf("the wiped replica has %d commands", n)
	}
	g.start("b")
	g.commit("with b")
	time.Sleep(2 * time.Second)
	if v := g.nodes[wiped].Status().Voters; len(v) != 0 {
		t.Errorf("the wiped replica has the voters %v", v)
	}
	ctx := context.Background()
	if err := g.leader().Add(ctx, wiped); !errors.Is(err, boragewick.ErrBadMembership) {
		t.Errorf("add under a name in use: %v", err)
	}
	g.eventually("removed", func() bool { return g.leader().Remove(ctx, wiped) == nil })
	g.eventually("added", func() bool { return g.leader().Add(ctx, wiped) == nil })
	g.eventually("promoted", func() bool { return g.leader().Promote(ctx, wiped) == nil })
	if err := g.stop("b"); err != nil {
		t.Fatal(err)
	}
	g.commit("with it")
	g.eventually("has all", func() bool { return g.hasApplied(wiped, append(numberedCommands("w", 100), "with it")...) })
}

func TestIsolatedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		for _, name := range g.cfg.Voters {
			g.start(name)
		}
		g.commit("before")
		old := g.leader()
		g.mu.Lock()
		g.isolated[old.cfg.Name] = true
		g.mu.Unlock()
		err := g.propose(old, "lost")
		if !errors.Is(err, boragewick.ErrOutcomeUnknown) || errors.Is(err, boragewick.ErrNotLeader) {
			t.Errorf("proposal to the isolated leader: %v", err)
		}
		g.eventually("another leads", func() bool {
			return !old.Status().Leading && g.leader() != old
		})
		g.commit("after")
		if err := old.Barrier(context.Background()); !errors.Is(err, boragewick.ErrNotLeader) {
			t.Errorf("barrier: %v", err)
		}
		g.mu.Lock()
		g.isolated[old.cfg.Name] = false
		g.mu.Unlock()
		g.eventually("the old leader has all", func() bool { return g.hasApplied(old.cfg.Name, "before", "after") })
		err = g.propose(old, "refused")
		if !errors.Is(err, boragewick.ErrNotLeader) || !strings.Contains(err.Error(), "leader is "+g.leader().cfg.Name) {
			t.Errorf("proposal to a follower: %v", err)
		}
	})
}

func TestGrowAndShrink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a")
		g.cfg.SnapshotEntries = 20
		defer g.stopAll()
		g.start("a")
		list := numberedCommands("w", 70)
		for _, command := range list {
			g.commit(command)
		}
		ctx := context.Background()
		for _, name := range []string{"b", "c", "d"} {
			g.start(name)
			g.eventually(name+" added", func() bool { return g.leader().Add(ctx, name) == nil })
			g.eventually(name+" promoted", func() bool { return g.leader().Promote(ctx, name) == nil })
		}
		g.eventually("a removed", func() bool { return g.leader().Remove(ctx, "a") == nil })
		if err := g.stop("a"); err != nil {
			t.Fatal(err)
		}
		g.commit("without a")
		status := g.leader().Status()
		if got := strings.Join(status.Voters, " "); got != "b c d" {
			t.Errorf("voters %s", got)
		}
		for _, name := range status.Voters {
			g.eventually(name+" has all", func() bool { return g.hasApplied(name, append(list, "without a")...) })
		}
	})
}

func TestLargeCommandsTriggerSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a")
		defer g.stopAll()
		r := g.start("a")
		for range 9 {
			g.commit(strings.Repeat("x", 2<<20))
		}
		snapshots := metrics.GetOrRegisterCounter("replica.snapshots", r.Metrics)
		g.eventually("a snapshot", func() bool { return snapshots.Count() == 1 })
		err := g.propose(r, strings.Repeat("x", maxCommandBytes+1))
		if !errors.Is(err, boragewick.ErrTooLarge) || boragewick.OutcomeOf(err) != boragewick.OutcomeNotRun {
			t.Errorf("proposal over the size limit: %v", err)
		}
	})
}

// failingFileSystem is a file system whose files fail to sync while broken is set.
type failingFileSystem struct {
	boragewick.FileSystem
	broken *atomic.Bool
}

type failingFile struct {
	boragewick.File
	broken *atomic.Bool
}

func (f *failingFileSystem) Create(name string) (boragewick.File, error) {
	file, err := f.FileSystem.Create(name)
	return &failingFile{file, f.broken}, err
}

func (f *failingFileSystem) Open(name string) (boragewick.File, error) {
	file, err := f.FileSystem.Open(name)
	if err != nil {
		return nil, err
	}
	return &failingFile{file, f.broken}, nil
}

func (f *failingFile) Sync() error {
	if f.broken.Load() {
		return errors.New("input/output error")
	}
	return f.File.Sync()
}

func TestFailedSyncStopsTheReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var broken atomic.Bool
		g := newGroup(t, "a")
		g.wrap = func(fsys boragewick.FileSystem) boragewick.FileSystem {
			return &failingFileSystem{fsys, &broken}
		}
		r := g.start("a")
		g.commit("before")
		broken.Store(true)
		if err := g.propose(r, "failed"); !errors.Is(err, boragewick.ErrStorage) || !errors.Is(err, boragewick.ErrOutcomeUnknown) {
			t.Errorf("proposal: %v", err)
		}
		broken.Store(false)
		if err := g.propose(r, "later"); err == nil {
			t.Error("acknowledged after a failed sync")
		}
		if err := g.stop("a"); !errors.Is(err, boragewick.ErrStorage) {
			t.Errorf("run: %v", err)
		}
	})
}
