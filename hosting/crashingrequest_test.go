package hosting

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const (
	// requestCrashesAllowed is the number of crashes by one request after which the
	// request must be known, and retriesAllowed how often it may reach endpoints later
	// than contactTime after that.
	requestCrashesAllowed = 3
	retriesAllowed        = 3
)

// mixedDocument is a configuration with routes to plain endpoints and to engines.
const mixedDocument = `{"version":3,"routes":[` +
	`{"name":"p","host":"a.example","pathPrefix":"/p/","kind":"safe","timeoutMs":1200,"service":"desk","maxAttempts":2},` +
	`{"name":"u","host":"a.example","pathPrefix":"/u/","kind":"unsafe","timeoutMs":1200,"service":"desk","maxAttempts":1},` +
	`{"name":"s","host":"a.example","pathPrefix":"/s/","kind":"streaming","timeoutMs":1200,"targetLatencyMs":500,"service":"gen","maxAttempts":2,"sessionAffinity":true,"resumable":true,"targetGapMs":400},` +
	`{"name":"t","host":"a.example","pathPrefix":"/t/","kind":"streaming","timeoutMs":1200,"targetLatencyMs":500,"service":"gen","maxAttempts":1,"sessionAffinity":true,"resumable":false,"targetGapMs":400}],` +
	`"services":[{"name":"desk"},{"name":"gen","engine":{"slots":16,"kvCapacityTokens":100000,"kvTokenBytes":1000,"backups":true,"models":[{"name":"m"}]}}],` +
	`"limits":{"maxBodyBytes":1000},"tenants":[{"name":"t","apiKeys":["k","k2"]}]}`

// ask sends a request through the router and returns its status. Its key is one of the
// two of its workspace.
func (d *deployment) ask(router, n int, path, parts string) int {
	header := []string{"X-Boragewick-Request-Id", fmt.Sprintf("q%d", n), "Authorization", "Token " + []string{"k", "k2"}[n/4%2], "X-Boragewick-Deadline-Ms", "1200"}
	if parts != "" {
		header = append(header, "X-Boragewick-Model", "m", "X-Boragewick-Token-Count", "170,5", "X-Boragewick-Prompt-Prefix", parts)
	}
	code, body := d.call("POST", d.addr(router, callerPort), path, "body", header...)
	if code == 200 && !strings.HasSuffix(body, fmt.Sprintf("id: %d\ndata: x\n\n", eventCount)) {
		return 0
	}
	return code
}

// TestRequestThatCrashesEndpoints guards against routers that send on a request that
// crashes every endpoint, and against their refusing other requests of the same caller.
func TestRequestThatCrashesEndpoints(t *testing.T) {
	tests := map[string]struct {
		pool, path, parts string
		// stopLeader is set if the leader is lost after the second crash, and stopAll if
		// all control replicas restart once the request is known.
		stopLeader, stopAll bool
		// versions are those of the endpoints' software; nil means one.
		versions []string
	}{
		"plain endpoints, may be repeated":  {pool: "desk", path: "/p"},
		"plain endpoints, may not":          {pool: "desk", path: "/u"},
		"engines, may be resumed":           {pool: "gen", path: "/s", parts: "a1:100,c1:50"},
		"engines, may not":                  {pool: "gen", path: "/t", parts: "a1:100,c1:50"},
		"engines of two versions":           {pool: "gen", path: "/s", parts: "a1:100,c1:50", versions: []string{"v1", "v1.1"}},
		"engines, a prompt of its own":      {pool: "gen", path: "/s", parts: "z1:100"},
		"the leader is lost meanwhile":      {pool: "desk", path: "/p", stopLeader: true},
		"control replicas restart later on": {pool: "desk", path: "/u", stopAll: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			for i := range 3 {
				d.start(i, true, false, true)
			}
			routers := []int{3, 4}
			for _, i := range routers {
				d.start(i, false, true, true)
			}
			d.waitFor(8*time.Second, "published", func() bool {
				code, _ := d.call("PUT", d.addr(0, operatorPort), "/config", mixedDocument)
				return code == 200
			})
			if test.versions == nil {
				test.versions = []string{"v"}
			}
			endpoints := d.startCrashing(test.pool, test.versions, 10, 11, 12)
			for _, i := range routers {
				d.waitFor(5*time.Second, "all endpoints known", func() bool { return d.nodes[i].mirror.Usable() == 3 })
			}

			var sound tally
			begin, n := time.Now(), 0
			last := map[int]int{}
			crashes := func() int {
				endpoints.mu.Lock()
				defer endpoints.mu.Unlock()
				return len(endpoints.crashes)
			}
			const lasting = 11 * time.Second
			for tick := 0; time.Since(begin) < lasting; tick++ {
				n++
				router := routers[(n/4+n)%2]
				if tick%4 == 0 {
					last[router] = d.ask(router, n, test.path+crashingPath, test.parts)
				} else if code := d.ask(router, n, test.path+fmt.Sprintf("/%d", tick%7), test.parts); time.Since(begin) > lasting-3*time.Second {
					sound.sent.Add(1)
					if code == 200 {
						sound.served.Add(1)
					}
				}
				if test.stopLeader && crashes() >= 2 {
					test.stopLeader = false
					for i := range 3 {
						if d.nodes[i].core.Replica.Status().Leading {
							d.stop(i)
							d.start(i, true, false, false)
							break
						}
					}
				}
				if test.stopAll && time.Since(begin) > 6*time.Second {
					test.stopAll = false
					for i := range 3 {
						d.stop(i)
					}
					for i := range 3 {
						d.start(i, true, false, false)
					}
				}
				time.Sleep(time.Until(begin.Add(time.Duration(tick+1) * 100 * time.Millisecond)))
			}

			endpoints.mu.Lock()
			defer endpoints.mu.Unlock()
			t.Logf("the request reached endpoints %d times, %d crashes; a share of %.3f of other requests served at the end", len(endpoints.arrivals), len(endpoints.crashes), sound.share())
			if len(endpoints.crashes) < requestCrashesAllowed {
				t.Fatal("too few crashes")
			}
			due := endpoints.crashes[requestCrashesAllowed-1].Add(contactTime)
			if due.After(begin.Add(lasting - contactTime)) {
				t.Fatalf("crash %d came too late", requestCrashesAllowed)
			}
			further := 0
			for _, at := range endpoints.arrivals {
				if at.After(due) {
					further++
				}
			}
			if further > retriesAllowed {
				t.Errorf("the request reached endpoints %d times later than %s after crash %d, allowed are %d", further, contactTime, requestCrashesAllowed, retriesAllowed)
			}
			if sound.share() < 0.9 {
				t.Errorf("a share of %.3f of other requests served at the end", sound.share())
			}
			for router, code := range last {
				if code != 503 {
					t.Errorf("router %d answers the request with status %d", router, code)
				}
			}
		})
	}
}
