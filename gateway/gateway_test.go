package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/mirror"
	"github.com/boragewick/boragewick/placement"
	"github.com/boragewick/boragewick/retry"
	"github.com/boragewick/boragewick/routes"
	"github.com/boragewick/boragewick/upstream"
)

// dialect is a small dialect of the tests: the ID and a refusal stand in headers.
type dialect struct{}

func (dialect) Inbound(r *http.Request) (boragewick.Inbound, error) {
	if r.Header.Get("Id") == "" {
		return boragewick.Inbound{}, boragewick.ErrMalformed
	}
	return boragewick.Inbound{
		ID: boragewick.RequestID(r.Header.Get("Id")), Host: "h", Path: r.URL.Path, Key: r.Header.Get("Key"),
		LastEvent: r.Header.Get("Last"), Patience: 2 * time.Second, PromptTokens: 100, OutputTokens: 10, Counted: true,
	}, nil
}

func (dialect) Outbound(caller http.Header, f boragewick.Forward) http.Header {
	h := http.Header{"Id": caller["Id"], "Expect-Endpoint": {f.Endpoint}}
	if f.LastEvent != "" {
		h.Set("Last", f.LastEvent)
	}
	if f.ResumeFrom != "" {
		h.Set("From", f.ResumeFrom)
	}
	if f.BackupTo.IsValid() {
		h.Set("Backup", f.BackupTo.String())
	}
	return h
}

func (dialect) Reply(_ int, h http.Header) boragewick.Reply {
	return boragewick.Reply{ID: boragewick.RequestID(h.Get("Id")), NotRun: h.Get("Not-Run") != ""}
}

// backend is an endpoint that answers its requests by scripts, the last one for
// all that follow.
type backend struct {
	mu      sync.Mutex
	scripts []script
	runs    []http.Header
	addr    netip.AddrPort
}

// script answers one request.
type script func(w http.ResponseWriter, r *http.Request)

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	b.mu.Lock()
	b.runs = append(b.runs, r.Header)
	s := b.scripts[0]
	if len(b.scripts) > 1 {
		b.scripts = b.scripts[1:]
	}
	b.mu.Unlock()
	w.Header().Set("Id", r.Header.Get("Id"))
	s(w, r)
}

func (b *backend) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.runs)
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }

func status(code int) script {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func wrongID(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Id", "another")
	_, _ = io.WriteString(w, "the answer to another request")
}

func closed(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// events sends the events of a range and then ends or breaks off.
func events(from, to int, whole bool) script {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := from; i <= to; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
			_ = http.NewResponseController(w).Flush()
		}
		if !whole {
			_, _ = io.WriteString(w, "id: 99\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// nothing observes dispatches.
type nothing struct{}

func (nothing) Report(boragewick.DispatchReport) {}

// world is a gateway before endpoints.
type world struct {
	*Gateway
	backends []*backend
	server   *httptest.Server
	touch    bool
}

// newWorld starts a gateway with one route at /r/, whose endpoints answer by the
// scripts.
func newWorld(t *testing.T, route boragewick.HostRoute, tenants []boragewick.TenantRule, scripts ...[]script) *world {
	t.Helper()
	w := &world{touch: true}
	places := &placement.Placement{}
	route.Name, route.Host, route.Prefix = "r", "h", "/r/"
	route.Pools = []boragewick.WeightedPool{{Pool: "p", Weight: 1}}
	route.Timeout = max(route.Timeout, 2*time.Second)
	pool := boragewick.PoolRule{Name: "p"}
	if route.Affine {
		pool.Engine = &boragewick.EngineRule{Moves: true, Backups: true}
	}
	view := &mirror.View{Index: routes.New(&boragewick.RoutingTable{
		Version: 1, Routes: []boragewick.HostRoute{route}, Pools: []boragewick.PoolRule{pool}, Tenants: tenants,
		Limits: boragewick.CallerLimits{BodyBytes: 1000, HeaderBytes: 4000},
	})}
	for i, list := range scripts {
		b := &backend{scripts: list}
		s := httptest.NewServer(b)
		t.Cleanup(s.Close)
		b.addr = netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
		w.backends = append(w.backends, b)
		e := boragewick.Endpoint{Name: fmt.Sprint("e", i), Pool: "p", Kind: boragewick.EndpointPlain, Agent: b.addr}
		if route.Affine {
			e.Kind = boragewick.EndpointModel
			e.Models = []boragewick.Model{{Name: "", Weights: "1"}}
		}
		places.Update(boragewick.EndpointChange{Endpoint: e})
	}
	w.Gateway = &Gateway{
		Dialect: dialect{}, View: func() *mirror.View { return view }, InTouch: func() bool { return w.touch },
		Placer: places, Reports: nothing{}, Client: &upstream.Client{}, Clock: boragewick.SystemClock,
		Budget: &retry.Budget{}, Logger: log.NewNopLogger(),
	}
	w.server = httptest.NewServer(w.Gateway)
	t.Cleanup(w.server.Close)
	return w
}

// send sends one request and returns its status, body, and whether the answer
// was whole.
func (w *world) send(t *testing.T, path string, edit func(*http.Request)) (int, string, http.Header, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, w.server.URL+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Id", "one")
	if edit != nil {
		edit(req)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), resp.Header, err
}

// ran is the number of requests that all endpoints got.
func (w *world) ran() int {
	n := 0
	for _, b := range w.backends {
		n += b.count()
	}
	return n
}

func TestAttempts(t *testing.T) {
	safe := boragewick.HostRoute{Kind: boragewick.Repeatable, Attempts: 2}
	once := boragewick.HostRoute{Kind: boragewick.RunOnce, Attempts: 2}
	tests := map[string]struct {
		route  boragewick.HostRoute
		first  script
		status int
		sent   int
	}{
		"safe: served":                      {safe, ok, 200, 1},
		"safe: failed by its endpoint":      {safe, status(500), 200, 2},
		"safe: closed":                      {safe, closed, 200, 2},
		"safe: refused":                     {safe, refuse, 200, 2},
		"safe: answer to another":           {safe, wrongID, 200, 2},
		"safe: not found is an answer":      {safe, status(404), 404, 1},
		"once: served":                      {once, ok, 200, 1},
		"once: failed by its endpoint":      {once, status(500), 500, 1},
		"once: closed":                      {once, closed, 502, 1},
		"once: refused, so it may go on":    {once, refuse, 200, 2},
		"once: answer to another":           {once, wrongID, 502, 1},
		"one attempt: refused":              {boragewick.HostRoute{Kind: boragewick.RunOnce, Attempts: 1}, refuse, 503, 1},
		"one attempt: closed":               {boragewick.HostRoute{Kind: boragewick.Repeatable, Attempts: 1}, closed, 502, 1},
		"a stream that can't be resumed":    {boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 2}, closed, 502, 1},
		"a stream that can be, not started": {boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 2, Resumable: true}, closed, 200, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			good := script(ok)
			if test.route.Kind == boragewick.Streaming {
				good = events(1, 3, true)
			}
			inTurn := firstThen(test.first, good)
			w := newWorld(t, test.route, nil, []script{inTurn}, []script{inTurn})
			code, _, _, err := w.send(t, "/r/x", nil)
			if err != nil {
				t.Fatal(err)
			}
			if code != test.status || w.ran() != test.sent {
				t.Errorf("status %d after %d endpoints, want %d after %d", code, w.ran(), test.status, test.sent)
			}
		})
	}
}

// firstThen answers the first request at any endpoint by one script and all
// others by another.
func firstThen(first, rest script) script {
	var once sync.Once
	return func(w http.ResponseWriter, r *http.Request) {
		s := rest
		once.Do(func() { s = first })
		s(w, r)
	}
}

func TestRefusals(t *testing.T) {
	rank := 1
	tenants := []boragewick.TenantRule{{Name: "north", Keys: []string{"good"}, Rank: &rank}}
	key := func(k string) func(*http.Request) { return func(r *http.Request) { r.Header.Set("Key", k) } }
	tests := map[string]struct {
		path   string
		edit   func(*http.Request)
		lost   bool
		status int
	}{
		"served":                       {"/r/x", key("good"), false, 200},
		"unknown route":                {"/q/x", key("good"), false, 404},
		"unknown key":                  {"/r/x", key("bad"), false, 401},
		"no key":                       {"/r/x", nil, false, 401},
		"unknown route, out of touch":  {"/q/x", key("good"), true, 503},
		"unknown key, out of touch":    {"/r/x", key("bad"), true, 503},
		"no ID":                        {"/r/x", func(r *http.Request) { r.Header.Del("Id") }, false, 400},
		"body too large":               {"/r/x", func(r *http.Request) { body(r, 2000); key("good")(r) }, false, 413},
		"body too large, without size": {"/r/x", func(r *http.Request) { body(r, 2000); r.ContentLength = -1; key("good")(r) }, false, 413},
		"header too large":             {"/r/x", func(r *http.Request) { r.Header.Set("Big", strings.Repeat("x", 5000)); key("good")(r) }, false, 431},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, boragewick.HostRoute{Kind: boragewick.RunOnce, Attempts: 1}, tenants, []script{ok})
			w.touch = !test.lost
			code, _, header, err := w.send(t, test.path, test.edit)
			if err != nil {
				t.Fatal(err)
			}
			if code != test.status {
				t.Errorf("status %d, want %d", code, test.status)
			}
			if code != 200 && w.ran() != 0 {
				t.Error("a refused request ran")
			}
			if code == 503 && header.Get("Retry-After") == "" {
				t.Error("no Retry-After")
			}
		})
	}
}

// body gives the request a body of n bytes.
func body(r *http.Request, n int64) {
	r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", int(n))))
	r.ContentLength = n
}

// mover moves runs by breaking off their streams.
type mover struct{}

func (m *mover) Move(context.Context, *boragewick.Endpoint, boragewick.RequestID, netip.AddrPort) (string, error) {
	return "", nil
}

func (m *mover) Backup(addr netip.AddrPort, id boragewick.RequestID) string {
	return addr.String() + "/" + string(id)
}

func TestStreams(t *testing.T) {
	resumable := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 2, Resumable: true}
	backed := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, Affine: true}
	bare := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1}
	rest := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last") != "3" {
			w.WriteHeader(http.StatusConflict)
			return
		}
		events(4, 6, true)(w, r)
	}
	tests := map[string]struct {
		route boragewick.HostRoute
		rest  script
		whole bool
		sent  int
		copy  bool
	}{
		"resumed after the last whole event": {resumable, rest, true, 2, false},
		"recovered from its backup":          {backed, rest, true, 2, true},
		"backup has no copy":                 {backed, refuse, false, 2, true},
		"neither":                            {bare, rest, false, 1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, test.route, nil, []script{nil}, []script{nil})
			w.Mover = &mover{}
			inTurn := firstThen(events(1, 3, false), test.rest)
			for _, b := range w.backends {
				b.scripts = []script{inTurn}
			}
			code, got, _, err := w.send(t, "/r/x", nil)
			if code != 200 || (err == nil) != test.whole {
				t.Fatalf("status %d, whole %t: %v", code, err == nil, err)
			}
			want := "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"
			if test.whole {
				want += "id: 4\ndata: x\n\nid: 5\ndata: x\n\nid: 6\ndata: x\n\n"
			}
			if got != want {
				t.Errorf("the caller got %q", got)
			}
			if w.ran() != test.sent {
				t.Errorf("%d endpoints were asked, want %d", w.ran(), test.sent)
			}
			copied := false
			for _, b := range w.backends {
				for _, h := range b.runs {
					copied = copied || h.Get("From") != ""
				}
			}
			if copied != test.copy {
				t.Errorf("went on from a copy: %t, want %t", copied, test.copy)
			}
		})
	}
}

// TestBackupOutOfReach is a run whose engine and backup crash together: nobody
// else may run it anew.
func TestBackupOutOfReach(t *testing.T) {
	w := newWorld(t, boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 2, Affine: true}, nil,
		[]script{nil}, []script{nil}, []script{nil})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := netip.MustParseAddrPort(l.Addr().String())
	_ = l.Close()
	for _, b := range w.backends {
		b.scripts = []script{events(1, 2, false)}
	}
	w.Mover = deadBackup{dead}
	w.Placer = &deadPlacer{w.Placer, dead}
	if _, _, _, err := w.send(t, "/r/x", nil); err == nil {
		t.Error("the stream ended as whole")
	}
	if n := w.ran(); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

type deadBackup struct{ addr netip.AddrPort }

func (d deadBackup) Move(context.Context, *boragewick.Endpoint, boragewick.RequestID, netip.AddrPort) (string, error) {
	return "", nil
}

func (d deadBackup) Backup(netip.AddrPort, boragewick.RequestID) string {
	return d.addr.String() + "/x"
}

// deadPlacer puts the second candidate out of reach.
type deadPlacer struct {
	boragewick.Placer
	addr netip.AddrPort
}

func (p *deadPlacer) Select(ctx context.Context, s boragewick.Selection) ([]boragewick.Candidate, error) {
	list, err := p.Placer.Select(ctx, s)
	if len(list) > 1 {
		list[1].Endpoint.Agent = p.addr
	}
	return list, err
}

func TestTimeout(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	w := newWorld(t, boragewick.HostRoute{Kind: boragewick.RunOnce, Attempts: 1}, nil, []script{slow})
	begun := time.Now()
	code, _, _, err := w.send(t, "/r/x", nil)
	if err != nil || code != http.StatusGatewayTimeout {
		t.Errorf("status %d: %v", code, err)
	}
	if took := time.Since(begun); took > 2500*time.Millisecond {
		t.Errorf("answered after %s with a timeout of 2 s", took)
	}
}

// TestCallerLeaves stops the endpoint's work when the caller is gone.
func TestCallerLeaves(t *testing.T) {
	stopped := make(chan struct{})
	work := func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(stopped)
	}
	w := newWorld(t, boragewick.HostRoute{Kind: boragewick.RunOnce, Attempts: 1}, nil, []script{work})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, _, _, err := w.send(t, "/r/x", func(r *http.Request) { *r = *r.WithContext(ctx) })
	if err == nil {
		t.Fatal("answered")
	}
	select {
	case <-stopped:
	case <-time.After(500 * time.Millisecond):
		t.Error("the endpoint still works half a second after the caller left")
	}
}

// limiter refuses or counts.
type limiter struct {
	err     error
	settled []uint64
}

func (l *limiter) Reserve(context.Context, boragewick.ID, uint64, time.Time) (boragewick.Reservation, error) {
	if l.err != nil {
		return nil, l.err
	}
	return l, nil
}

func (l *limiter) Settle(used uint64) { l.settled = append(l.settled, used) }

func TestRates(t *testing.T) {
	tenants := []boragewick.TenantRule{{Name: "north", Keys: []string{"k"}, ByTokens: true, PerSecond: 1000}}
	key := func(r *http.Request) { r.Header.Set("Key", "k") }
	tests := map[string]struct {
		first   script
		err     error
		status  int
		settled uint64
	}{
		"served":       {ok, nil, 200, 110},
		"may have run": {closed, nil, 502, 110},
		"over the cap": {ok, boragewick.NotRun(boragewick.ErrRateExceeded), 429, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, boragewick.HostRoute{Kind: boragewick.RunOnce, Attempts: 1}, tenants, []script{test.first})
			l := &limiter{err: test.err}
			w.Limiter = l
			code, _, header, err := w.send(t, "/r/x", key)
			if err != nil || code != test.status {
				t.Fatalf("status %d: %v", code, err)
			}
			if code == 429 && (header.Get("Retry-After") == "" || w.ran() != 0) {
				t.Error("a refusal without Retry-After, or of what ran")
			}
			if code != 429 && (len(l.settled) != 1 || l.settled[0] != test.settled) {
				t.Errorf("settled %v, want %d", l.settled, test.settled)
			}
		})
	}
}
