package hosting

import (
	"testing"
	"time"
)

func TestRouterDrains(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	for i := range 3 {
		d.start(i, true, false, true)
	}
	d.start(4, false, true, true)
	d.startEndpoint(5)
	d.waitFor(8*time.Second, "published", func() bool { return d.publish(0, 3) })
	d.waitFor(4*time.Second, "served", func() bool {
		d.heartbeat(0, 5, int(time.Now().UnixMilli()), "ready")
		code, _ := d.request(4, "/v3/x")
		return code == 200
	})
	d.mu.Lock()
	r := d.nodes[4]
	d.mu.Unlock()
	r.cancel()
	d.waitFor(time.Second, "not ready", func() bool {
		code, _ := d.call("GET", d.addr(4, readyPort), "/ready", "")
		return code != 200
	})
	if code, _ := d.request(4, "/v3/x"); code != 200 {
		t.Errorf("status %d while it drains", code)
	}
	<-r.done
}
