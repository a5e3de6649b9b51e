package hosting

import (
	"testing"
	"time"

	"github.com/boragewick/boragewick/quorum"
)

// TestPlannedStopOfLeader guards against control processes that are without a leader for an
// election timeout after each planned stop, and against configurations that are lost on the way.
func TestPlannedStopOfLeader(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	for i := range 3 {
		d.start(i, true, false, true)
	}
	version := 3
	d.waitFor(8*time.Second, "published", func() bool { return d.publish(0, version) })
	for range 3 {
		leader := d.leader()
		d.terminate(leader)
		stopped := time.Now()
		successor := d.leader()
		// Without a hand-over, followers stand for election later than that.
		if took := time.Since(stopped); took > electionTimeout {
			t.Errorf("no leader for %s", took)
		}
		version++
		d.waitFor(4*time.Second, "published by the successor", func() bool { return d.publish(successor, version) })
		d.start(leader, true, false, false)
		d.waitFor(8*time.Second, "the former leader follows", func() bool {
			return d.nodes[leader].core.Replica.Status().Applied >= d.nodes[successor].core.Replica.Status().Applied
		})
	}
}

// leader waits for a leader among nodes 0 to 2.
func (d *deployment) leader() int {
	d.t.Helper()
	leader := -1
	d.waitFor(8*time.Second, "a leader", func() bool {
		for i := range 3 {
			d.mu.Lock()
			n := d.nodes[i]
			d.mu.Unlock()
			if n != nil && n.core.Replica.Status().Leading {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// stop ends node i like a loss: it tells nobody, and a leader does not hand over.
func (d *deployment) stop(i int) { d.end(i, false) }

// terminate ends node i as planned.
func (d *deployment) terminate(i int) { d.end(i, true) }

func (d *deployment) end(i int, planned bool) {
	d.mu.Lock()
	r := d.nodes[i]
	delete(d.nodes, i)
	d.mu.Unlock()
	if r == nil {
		return
	}
	if r.core != nil && !planned {
		r.core.NoticeTime = 0
		if replica, ok := r.core.Replica.(*quorum.Node); ok {
			replica.HandOverTime = 0
		}
	}
	r.cancel()
	<-r.done
}
