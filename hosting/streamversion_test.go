package hosting

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// leastGoOn is the share of interrupted streams that must go on while endpoints of their
// version serve.
const leastGoOn = 0.5

// newVersionTest starts three control replicas at nodes 0 to 2 and routers at 3 to 5, with
// an engine for each of the versions, from node 10 on.
func newVersionTest(t *testing.T, versions ...string) (*deployment, []*versionedEngine) {
	t.Helper()
	d := newDeployment(t)
	for i := range 3 {
		d.start(i, true, false, true)
	}
	for i := 3; i < 6; i++ {
		d.start(i, false, true, true)
	}
	d.waitFor(8*time.Second, "published", func() bool {
		code, _ := d.call("PUT", d.addr(0, operatorPort), "/config", versionsDocument)
		return code == http.StatusOK
	})
	var engines []*versionedEngine
	for i, v := range versions {
		engines = append(engines, d.startVersioned(10+i, v, 0, 1, 2))
	}
	for i := 3; i < 6; i++ {
		d.waitFor(5*time.Second, "served with all engines known", func() bool {
			return d.nodes[i].mirror.Usable() == len(versions) && d.begin(1, "/r/warm", 0, i)[0].complete()
		})
	}
	return d, engines
}

// another returns a router other than the one where the stream began.
func another(s *versionedStream) int { return 3 + (s.router-2)%3 }

// TestStreamKeepsItsSoftwareVersion guards against streams with events of endpoints of two
// software versions, and against refusing to go on with streams whose version still serves.
func TestStreamKeepsItsSoftwareVersion(t *testing.T) {
	twenty := []string{}
	for i := range 20 {
		twenty = append(twenty, "v1."+strings.Repeat("1", i))
	}
	long := strings.Repeat("x", 3000)
	tests := map[string][]string{
		"one":            {"v1", "v1", "v1"},
		"two":            {"v1", "v1.1", "v1", "v1.1"},
		"three":          {"v1", "v1.1", "v1.2", "v1", "v1.1", "v1.2"},
		"empty and long": {"", long, long + "y", "", long, long + "y"},
		"twenty":         twenty,
	}
	for name, versions := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, _ := newVersionTest(t, versions...)
			broken := d.begin(24, "/r/break", 0, 3, 4, 5)
			d.takeUpAll(broken, 0, another)
			share := wentOn(t, broken)
			t.Logf("broken off by their endpoint: a share of %.2f went on", share)
			if share < leastGoOn {
				t.Errorf("a share of %.2f of the streams that broke went on", share)
			}
			left := d.begin(24, "/r/left", 2, 3, 4, 5)
			d.takeUpAll(left, 2, another)
			d.takeUpAll(left, 0, func(s *versionedStream) int { return 3 + (s.router-1)%3 })
			if share := wentOn(t, left); share < leastGoOn {
				t.Errorf("a share of %.2f of the streams that were taken up twice went on", share)
			}
			lost := d.begin(24, "/r/lost", 2, 5)
			d.stop(5)
			d.takeUpAll(lost, 0, func(*versionedStream) int { return 3 })
			if share := wentOn(t, lost); share < leastGoOn {
				t.Errorf("a share of %.2f of the streams of a lost router went on", share)
			}
			atFresh := d.begin(24, "/r/fresh", 2, 3, 4)
			d.start(5, false, true, false)
			d.waitFor(5*time.Second, "router serves", func() bool {
				code, _ := d.call("GET", d.addr(5, readyPort), "/ready", "")
				return code == http.StatusOK
			})
			d.takeUpAll(atFresh, 0, func(*versionedStream) int { return 5 })
			if share := wentOn(t, atFresh); share < leastGoOn {
				t.Errorf("a share of %.2f of the streams went on at a router that has just started", share)
			}
		})
	}
}
