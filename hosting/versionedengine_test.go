package hosting

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// versionedEvents is the number of events of a stream of a versionedEngine.
const versionedEvents = 8

// versionsDocument is a configuration with one route to engines whose streams may be
// resumed.
const versionsDocument = `{"version":3,"routes":[{"name":"r","host":"a.example","pathPrefix":"/r/","kind":"streaming","timeoutMs":3000,` +
	`"targetLatencyMs":500,"service":"gen","maxAttempts":3,"sessionAffinity":true,"resumable":true,"targetGapMs":400}],` +
	`"services":[{"name":"gen","engine":{"slots":16,"kvCapacityTokens":100000,"kvTokenBytes":1000,"models":[{"name":"m"}]}}],` +
	`"limits":{"maxBodyBytes":1000},"tenants":[{"name":"t","apiKeys":["k"]},{"name":"u","apiKeys":["other"]}]}`

// versionedEngine is an engine with a version of its software, which is in each event that
// it writes. It breaks off streams that begin under a path with "/break".
type versionedEngine struct {
	d       *deployment
	node    int
	version string
	// replicas are the nodes to which it sends heartbeats in turn.
	replicas []int
	stopBeat func()
}

// startVersioned runs an engine of the version at the node until the test ends.
func (d *deployment) startVersioned(node int, version string, replicas ...int) *versionedEngine {
	e := &versionedEngine{d: d, node: node, version: version, replicas: replicas}
	d.serveEndpoint(node, e)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { e.beat(ctx) })
	e.stopBeat = func() {
		cancel()
		tasks.Wait()
	}
	d.t.Cleanup(e.stopBeat)
	return e
}

func (e *versionedEngine) id() string { return fmt.Sprintf("engine-%d", e.node) }

// beat sends heartbeats until ctx is done.
func (e *versionedEngine) beat(ctx context.Context) {
	for seq := 1; ctx.Err() == nil; seq++ {
		version, _ := json.Marshal(e.version)
		body := fmt.Sprintf(`{"service":"gen","address":%q,"zone":"z","version":%s,"slots":16,"state":"ready","coldRemainingMs":0,"seq":%d,"born":1,`+
			`"stage":"both","models":[{"name":"m","version":1,"adapters":[]}]}`, e.d.addr(e.node, enginePort), version, seq)
		for i := range e.replicas {
			addr := e.d.addr(e.replicas[(seq+i)%len(e.replicas)], operatorPort)
			if code, _ := e.d.call("PUT", addr, "/instances/"+e.id(), body); code == http.StatusOK {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(beatInterval):
		}
	}
}

// leave ends the engine's service: it deregisters.
func (e *versionedEngine) leave() {
	e.stopBeat()
	for _, i := range e.replicas {
		if code, _ := e.d.call("DELETE", e.d.addr(i, operatorPort), "/instances/"+e.id(), ""); code == http.StatusOK {
			return
		}
	}
	e.d.t.Error("an engine could not deregister")
}

// ServeHTTP streams events, each with the engine's version.
func (e *versionedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Boragewick-Request-Id", r.Header.Get("X-Boragewick-Request-Id"))
	if expected := r.Header.Get("X-Boragewick-Expect-Instance"); expected != "" && expected != e.id() {
		w.Header().Set("X-Boragewick-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Boragewick-Weight-Versions", "1")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= versionedEvents; i++ {
		time.Sleep(eventInterval)
		if strings.Contains(r.URL.Path, "/break") && last == 0 && i > 3 {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %q\n\n", i, e.version)
		_ = http.NewResponseController(w).Flush()
	}
}

// versionedStream is a stream over all of its caller's tries.
type versionedStream struct {
	id, path string
	// router is where it began, and versions are those of its events in order.
	router   int
	versions []string
	// status and took are those of the last try.
	status     int
	took       time.Duration
	retryAfter string
}

// complete reports whether all events have come.
func (s *versionedStream) complete() bool { return len(s.versions) == versionedEvents }

// mixed reports whether events of two versions have come.
func (s *versionedStream) mixed() bool {
	for _, v := range s.versions {
		if v != s.versions[0] {
			return true
		}
	}
	return false
}

// read makes a try at the router. The caller leaves after the given number of events; zero
// reads all.
func (d *deployment) read(s *versionedStream, router int, id string, events int, header ...string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	begun := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.addr(router, callerPort).String()+s.path, strings.NewReader("body"))
	if err != nil {
		d.t.Error(err)
		return
	}
	req.Host = "a.example"
	header = append([]string{
		"X-Boragewick-Request-Id", id, "Authorization", "Token k", "X-Boragewick-Deadline-Ms", "3000",
		"X-Boragewick-Model", "m", "X-Boragewick-Token-Count", "170,5", "X-Boragewick-Prompt-Prefix", s.id + ":100,c:50",
	}, header...)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
		if i+3 < len(header) && header[i] == header[i+2] {
			req.Header.Add(header[i], header[i+3])
			i += 2
		}
	}
	s.status = 0
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	s.status, s.took, s.retryAfter = resp.StatusCode, time.Since(begun), resp.Header.Get("Retry-After")
	for r, n := bufio.NewScanner(resp.Body), 0; r.Scan(); {
		if v, ok := strings.CutPrefix(r.Text(), "data: "); ok {
			s.versions = append(s.versions, v)
			if n++; n == events {
				return
			}
		}
	}
}

// takeUp goes on with the stream at the router.
func (d *deployment) takeUp(s *versionedStream, router int, id string, events int) {
	d.read(s, router, id, events, "Last-Event-Id", strconv.Itoa(len(s.versions)), "Resumes", s.id)
}

// begin begins a number of streams at the routers in turn, at the same time.
func (d *deployment) begin(n int, path string, events int, routers ...int) []*versionedStream {
	streams := make([]*versionedStream, n)
	var tasks sync.WaitGroup
	for i := range streams {
		s := &versionedStream{id: fmt.Sprintf("%s-%d", strings.Trim(path, "/"), i), path: path, router: routers[i%len(routers)]}
		streams[i] = s
		tasks.Go(func() { d.read(s, s.router, s.id, events) })
	}
	tasks.Wait()
	return streams
}

// takeUpAll goes on with all streams at the same time, each at the router that to returns.
func (d *deployment) takeUpAll(streams []*versionedStream, events int, to func(s *versionedStream) int) {
	var tasks sync.WaitGroup
	for _, s := range streams {
		tasks.Go(func() { d.takeUp(s, to(s), fmt.Sprint(s.id, "-again-", events), events) })
	}
	tasks.Wait()
}

// wentOn checks that no stream has events of two versions, and returns the share of those
// that are complete.
func wentOn(t *testing.T, streams []*versionedStream) float64 {
	t.Helper()
	complete, mixed := 0, 0
	for _, s := range streams {
		if s.mixed() {
			mixed++
		}
		if s.complete() {
			complete++
		} else if s.status != http.StatusServiceUnavailable {
			t.Errorf("stream %s ended after %d events with status %d", s.id, len(s.versions), s.status)
		}
	}
	if mixed > 0 {
		t.Errorf("%d of %d streams have events of two versions", mixed, len(streams))
	}
	return float64(complete) / float64(len(streams))
}
