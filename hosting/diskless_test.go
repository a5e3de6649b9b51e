package hosting

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// knownEndpoints counts the endpoints that the router at node i may use.
func (d *deployment) knownEndpoints(i int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.nodes[i].mirror.Usable()
}

// deregister sends the deregistration of the endpoint at node i to the control
// process at node c.
func (d *deployment) deregister(c, i int) bool {
	code, _ := d.call("DELETE", d.addr(c, operatorPort), fmt.Sprintf("/instances/desk-%d", i), "")
	return code == http.StatusOK
}

// TestDisklessControlProcesses answers the pattern in which most control processes
// have no disk and each endpoint sends its heartbeats to only one of them.
func TestDisklessControlProcesses(t *testing.T) {
	t.Parallel()
	const (
		replicas = 3
		diskless = 17
		routers  = 2
		lag      = 3*time.Second - 300*time.Millisecond // bound of the platform less a heartbeat
	)
	d := newDeployment(t)
	for i := range replicas {
		d.start(i, true, false, true)
	}
	for i := range diskless {
		d.startDiskless(replicas + i)
	}
	firstRouter := replicas + diskless
	for i := range routers {
		d.start(firstRouter+i, false, true, true)
	}
	d.waitFor(8*time.Second, "published at a process without a disk", func() bool { return d.publish(replicas, 3) })
	everyRouterKnows := func(n int) func() bool {
		return func() bool {
			for i := range routers {
				if d.knownEndpoints(firstRouter+i) != n {
					return false
				}
			}
			return true
		}
	}
	beat := func(seq int) {
		for i := range diskless {
			if !d.heartbeat(replicas+i, replicas+i, seq, "ready") {
				t.Errorf("heartbeat %d of endpoint %d isn't acknowledged", seq, i)
			}
		}
	}
	beat(1)
	d.waitFor(lag, "every router knows every endpoint", everyRouterKnows(diskless))

	d.stop(0)
	d.waitFor(8*time.Second, "a leader among the replicas that are left", func() bool { return d.publish(replicas+1, 4) })
	for seq := 2; seq < 8; seq++ {
		beat(seq)
		time.Sleep(200 * time.Millisecond)
	}
	if !everyRouterKnows(diskless)() {
		t.Error("endpoints are lost with one replica")
	}
	if !d.deregister(replicas+5, replicas+2) {
		t.Error("a deregistration at another process isn't acknowledged")
	}
	d.waitFor(time.Second, "every router drops the endpoint that left", everyRouterKnows(diskless-1))

	d.stop(1)
	d.stop(2)
	if d.heartbeat(replicas, replicas, 9, "ready") {
		t.Error("a heartbeat that reaches no replica is acknowledged")
	}
}

// TestUnknownPools guards against endpoints of pools that no configuration names. Processes
// without a disk took them for all others.
func TestUnknownPools(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	for i := range 3 {
		d.start(i, true, false, true)
	}
	d.startDiskless(3)
	d.start(4, false, true, true)
	d.waitFor(8*time.Second, "published", func() bool { return d.publish(3, 3) })
	d.waitFor(3*time.Second, "every replica has the configuration", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		for i := range 3 {
			if state, _ := d.nodes[i].core.Registry.State(); state.Publication.Version != 3 {
				return false
			}
		}
		return true
	})
	d.waitFor(3*time.Second, "every process acknowledges a heartbeat", func() bool {
		return d.heartbeat(0, 7, 1, "ready") && d.heartbeat(3, 7, 2, "ready")
	})
	d.waitFor(3*time.Second, "the router knows the endpoint", func() bool { return d.knownEndpoints(4) == 1 })
	body := fmt.Sprintf(`{"service":"nobody","address":%q,"zone":"z","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,"seq":1,"born":%d}`,
		d.addr(7, 80), time.Now().Add(time.Hour).UnixMilli())
	for process := range 4 {
		code, _ := d.call("PUT", d.addr(process, operatorPort), "/instances/other", body)
		if code != http.StatusBadRequest {
			t.Errorf("process %d: status %d", process, code)
		}
	}
	for seq := range 5 {
		d.heartbeat(0, 7, 3+seq, "ready") // it would count as silent after 0.9 s
		time.Sleep(200 * time.Millisecond)
	}
	if n := d.knownEndpoints(4); n != 1 {
		t.Errorf("the router knows %d endpoints", n)
	}
}
