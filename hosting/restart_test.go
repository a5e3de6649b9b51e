package hosting

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestRestartsBringNothingBack answers the pattern in which a process restarts after
// an endpoint has left and a key was withdrawn: neither is in use again, whichever
// process restarts, and when all do.
func TestRestartsBringNothingBack(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	const router = 4
	for i := range 3 {
		d.start(i, true, false, true)
	}
	d.start(router, false, true, true)
	d.startEndpoint(5)
	d.startEndpoint(6)
	d.waitFor(8*time.Second, "published", func() bool { return d.publish(0, 3) })
	d.waitFor(2*time.Second, "heartbeats", func() bool { return d.heartbeat(0, 5, 1, "ready") && d.heartbeat(1, 6, 1, "ready") })
	served := func() string {
		_, b := d.request(router, "/v3/x")
		return b
	}
	d.waitFor(2*time.Second, "served by both", func() bool {
		seen := map[string]bool{}
		for range 8 {
			seen[served()] = true
		}
		return seen["desk-5 t"] && seen["desk-6 t"]
	})

	// Endpoint 6 leaves, and the key k is replaced by another one.
	if !d.heartbeat(2, 6, 2, "draining") || !d.deregister(0, 6) {
		t.Fatal("the departure isn't acknowledged")
	}
	withoutKey := fmt.Sprintf(`{"version":4,"routes":[{"name":"r","host":"a.example","pathPrefix":"/v3/","kind":"safe","timeoutMs":1000,"service":"desk","maxAttempts":2}],` +
		`"services":[{"name":"desk"}],"limits":{"maxBodyBytes":1000},"tenants":[{"name":"t","apiKeys":["new"]}]}`)
	if code, _ := d.call("PUT", d.addr(0, operatorPort), "/config", withoutKey); code != http.StatusOK {
		t.Fatal("the withdrawal isn't acknowledged")
	}
	d.waitFor(2*time.Second, "the key is refused", func() bool {
		code, _ := d.request(router, "/v3/x")
		return code == http.StatusUnauthorized
	})
	withNewKey := func() (int, string) {
		return d.call("GET", d.addr(router, callerPort), "/v3/x", "",
			"X-Boragewick-Request-Id", "id", "Authorization", "Token new", "X-Boragewick-Deadline-Ms", "1000")
	}
	seq := 2
	check := func(step string) {
		t.Helper()
		for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
			seq++
			d.heartbeat(seq%3, 5, seq, "ready")
			if code, b := d.request(router, "/v3/x"); code == http.StatusOK {
				t.Fatalf("%s: the withdrawn key is served: %s", step, b)
			}
			if code, b := withNewKey(); code == http.StatusOK && b != "desk-5 t" {
				t.Fatalf("%s: an endpoint that has left is used: %s", step, b)
			}
		}
		d.waitFor(6*time.Second, step+": served with the new key", func() bool {
			seq++
			d.heartbeat(seq%3, 5, seq, "ready")
			code, _ := withNewKey()
			return code == http.StatusOK
		})
	}
	for i := range 3 {
		d.stop(i)
		d.start(i, true, false, false)
		check(fmt.Sprintf("replica %d restarted", i))
	}
	d.stop(router)
	d.start(router, false, true, false)
	check("router restarted")
	for i := range 3 {
		d.stop(i)
	}
	d.stop(router)
	for i := range 3 {
		d.start(i, true, false, false)
	}
	d.start(router, false, true, false)
	check("all restarted")
}
