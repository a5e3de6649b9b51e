package hosting

import (
	"net/http"
	"strconv"
	"testing"
	"time"
)

// refusedWithin is the time within which a stream that can't go on must be refused.
const refusedWithin = 600 * time.Millisecond

// waitForBuilds waits until the routers allow the number of builds.
func (d *deployment) waitForBuilds(n int, routers ...int) {
	d.t.Helper()
	for _, i := range routers {
		d.waitFor(5*time.Second, strconv.Itoa(n)+" builds in use", func() bool { return len(d.nodes[i].mirror.Builds("gen")) == n })
	}
}

// TestStreamsTakenUpAtOtherVersions guards against events of two software versions in a
// stream whose origin is lost, unknown or ambiguous, and against refusing those whose origin
// some process knows.
func TestStreamsTakenUpAtOtherVersions(t *testing.T) {
	const all, none = 1.0, 0.0
	mixed := []string{"v1", "v1.1", "v1", "v1.1"}
	one := []string{"v1", "v1"}
	resumes := func(values ...string) func(d *deployment, s *versionedStream) {
		return func(d *deployment, s *versionedStream) {
			header := []string{"Last-Event-Id", strconv.Itoa(len(s.versions))}
			for _, v := range values {
				if v == "" {
					v = s.id
				}
				header = append(header, "Resumes", v)
			}
			d.read(s, another(s), s.id+"-again", 0, header...)
		}
	}
	stopAll := func(d *deployment, _ []*versionedEngine) {
		for i := range 3 {
			d.stop(i)
		}
	}
	tests := map[string]struct {
		versions []string
		// between happens between the tries.
		between func(d *deployment, engines []*versionedEngine)
		again   func(d *deployment, s *versionedStream)
		// least and most are the shares of the streams that may go on.
		least, most float64
	}{
		"its version has left": {mixed, func(d *deployment, engines []*versionedEngine) {
			engines[0].leave()
			engines[2].leave()
			time.Sleep(time.Second)
		}, resumes(""), 0.01, 0.99},
		"another version appears": {one, func(d *deployment, _ []*versionedEngine) {
			d.startVersioned(18, "v2", 0, 1, 2)
			d.waitForBuilds(2, 3, 4, 5)
			time.Sleep(400 * time.Millisecond) // the routers tell where their streams began
		}, resumes(""), leastGoOn, all},
		"no Resumes":              {mixed, nil, resumes(), none, none},
		"no Resumes, one version": {one, nil, resumes(), all, all},
		"unknown Resumes":         {mixed, nil, resumes("nobody"), none, none},
		"Resumes of another workspace": {mixed, nil, func(d *deployment, s *versionedStream) {
			d.read(s, another(s), s.id+"-again", 0, "Last-Event-Id", strconv.Itoa(len(s.versions)), "Resumes", s.id, "Authorization", "Token other")
		}, none, none},
		"Resumes twice, the same":       {mixed, nil, resumes("", ""), leastGoOn, all},
		"Resumes twice, different ones": {mixed, nil, resumes("", "nobody"), none, none},
		"no leader": {mixed, func(d *deployment, _ []*versionedEngine) {
			for i := range 3 {
				if d.nodes[i].core.Replica.Status().Leading {
					d.stop(i)
					return
				}
			}
		}, resumes(""), leastGoOn, all},
		"no leader, one version": {one, func(d *deployment, _ []*versionedEngine) {
			for i := range 3 {
				if d.nodes[i].core.Replica.Status().Leading {
					d.stop(i)
					return
				}
			}
		}, resumes(""), leastGoOn, all},
		"all replicas restarted": {mixed, func(d *deployment, _ []*versionedEngine) {
			for i := range 3 {
				d.stop(i)
			}
			for i := range 3 {
				d.start(i, true, false, false)
			}
			d.waitForBuilds(2, 3, 4, 5)
			time.Sleep(3 * time.Second) // the time after which a process counts as in touch
		}, resumes(""), leastGoOn, all},
		"no replica at all":              {mixed, stopAll, resumes(""), none, none},
		"no replica at all, one version": {one, stopAll, resumes(""), none, none},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, engines := newVersionTest(t, test.versions...)
			distinct := map[string]bool{}
			for _, v := range test.versions {
				distinct[v] = true
			}
			d.waitForBuilds(len(distinct), 3, 4, 5)
			streams := d.begin(24, "/r/left", 2, 3, 4, 5)
			if test.between != nil {
				test.between(d, engines)
			}
			for _, s := range streams {
				test.again(d, s)
				if s.status != http.StatusServiceUnavailable {
					continue
				}
				wait, err := strconv.ParseFloat(s.retryAfter, 64)
				if err != nil || wait <= 0 || s.took > refusedWithin {
					t.Errorf("refused after %s with Retry-After %q", s.took, s.retryAfter)
				}
			}
			share := wentOn(t, streams)
			t.Logf("a share of %.2f went on", share)
			if share < test.least || share > test.most {
				t.Errorf("a share of %.2f went on, want %.2f to %.2f", share, test.least, test.most)
			}
		})
	}
}

// TestNewVersionServes guards against endpoints of a new software version that get no
// streams.
func TestNewVersionServes(t *testing.T) {
	t.Parallel()
	d, engines := newVersionTest(t, "v1", "v1")
	d.startVersioned(18, "v2", 0, 1, 2)
	engines[0].leave()
	engines[1].leave()
	began := time.Now()
	d.waitFor(3*time.Second, "served by the new version", func() bool { return d.begin(1, "/r/x", 0, 3)[0].complete() })
	t.Logf("served after %s", time.Since(began))
}
