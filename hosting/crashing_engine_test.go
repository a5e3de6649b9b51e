package hosting

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// crashingPart is the prompt part that ends a crashingEngine, and crashingPath is in
	// the path of a request that ends it whatever its prompt.
	crashingPart = "bad"
	crashingPath = "/crash"
	// engineDownTime is how long a crashingEngine stays down after a crash.
	engineDownTime = time.Second
	// beatInterval is the time between two heartbeats of an engine.
	beatInterval = 300 * time.Millisecond
	// eventInterval is the time before each event of an answer, which has eventCount
	// of them.
	eventInterval = 15 * time.Millisecond
	eventCount    = 5
)

// crashLog records what befell the engines of a test.
type crashLog struct {
	mu       sync.Mutex
	arrivals []time.Time // of requests that crash engines
	crashes  []time.Time
}

// crashingEngine is an engine that crashes when it begins to answer a request with
// crashingPart or crashingPath, and starts again after engineDownTime under a new ID. It
// may also be a plain endpoint.
type crashingEngine struct {
	d    *deployment
	pool string
	// version is that of its software.
	version string
	log     *crashLog
	i       int
	addr    netip.AddrPort
	done    <-chan struct{}

	mu     sync.Mutex
	id     string
	server *http.Server
}

// startEngines runs a crashingEngine at each of the nodes until the test ends.
func (d *deployment) startEngines(nodes ...int) *crashLog {
	return d.startCrashing("gen", []string{"v"}, nodes...)
}

// startCrashing runs crashing endpoints of the pool at the nodes until the test ends. They
// have the software versions in turn.
func (d *deployment) startCrashing(pool string, versions []string, nodes ...int) *crashLog {
	events := &crashLog{}
	done := make(chan struct{})
	var tasks sync.WaitGroup
	for n, i := range nodes {
		e := &crashingEngine{d: d, pool: pool, version: versions[n%len(versions)], log: events, i: i, addr: d.addr(i, enginePort), done: done}
		tasks.Go(e.run)
	}
	d.t.Cleanup(func() {
		close(done)
		tasks.Wait()
	})
	return events
}

// run starts the engine, and starts it again after each crash.
func (e *crashingEngine) run() {
	for run := 1; ; run++ {
		l, err := net.Listen("tcp4", e.addr.String())
		if err != nil {
			e.d.t.Errorf("engine %d: %v", e.i, err)
			return
		}
		s := &http.Server{Handler: e}
		e.mu.Lock()
		e.id, e.server = fmt.Sprintf("engine-%d-%d", e.i, run), s
		e.mu.Unlock()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = s.Serve(l)
		}()
		e.beat(time.Now().UnixMilli(), ended)
		_ = s.Close()
		select {
		case <-e.done:
			return
		case <-time.After(engineDownTime):
		}
	}
}

// beat sends heartbeats until the run has ended.
func (e *crashingEngine) beat(born int64, ended <-chan struct{}) {
	for seq := 1; ; seq++ {
		e.d.call("PUT", e.d.addr(seq%3, operatorPort), "/instances/"+e.id, fmt.Sprintf(
			`{"service":%q,"address":%q,"zone":"z","version":%q,"slots":16,"state":"ready","coldRemainingMs":0,%s"seq":%d,"born":%d}`,
			e.pool, e.addr, e.version, e.models(), seq, born))
		select {
		case <-e.done:
			return
		case <-ended:
			return
		case <-time.After(beatInterval):
		}
	}
}

// models returns the part of a heartbeat that only engines send.
func (e *crashingEngine) models() string {
	if e.pool != "gen" {
		return ""
	}
	return `"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],`
}

// ServeHTTP answers a request with a stream, or ends the engine.
func (e *crashingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	id, server := e.id, e.server
	e.mu.Unlock()
	w.Header().Set("X-Boragewick-Request-Id", r.Header.Get("X-Boragewick-Request-Id"))
	if expected := r.Header.Get("X-Boragewick-Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("X-Boragewick-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	crashes := strings.Contains(r.Header.Get("X-Boragewick-Prompt-Prefix"), crashingPart+":") || strings.Contains(r.URL.Path, crashingPath)
	if crashes {
		e.log.mu.Lock()
		e.log.arrivals = append(e.log.arrivals, time.Now())
		e.log.mu.Unlock()
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Boragewick-Weight-Versions", "1")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= eventCount; i++ {
		time.Sleep(eventInterval)
		if crashes {
			e.crash(server)
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		_ = http.NewResponseController(w).Flush()
	}
}

// crash ends the run: it closes the listener and all connections.
func (e *crashingEngine) crash(server *http.Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != server {
		return // the run has ended
	}
	e.server = nil
	_ = server.Close()
	e.log.mu.Lock()
	defer e.log.mu.Unlock()
	e.log.crashes = append(e.log.crashes, time.Now())
}
