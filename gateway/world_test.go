package gateway

import (
	"context"
	"fmt"
	"io"
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
