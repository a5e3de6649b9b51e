package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/boragewick/boragewick"
)

// fakeMover moves nothing. It names the backup copy of a run by the address and
// the request ID.
type fakeMover struct{}

func (m *fakeMover) Move(context.Context, *boragewick.Endpoint, boragewick.RequestID, netip.AddrPort) (string, error) {
	return "", nil
}

func (m *fakeMover) Backup(addr netip.AddrPort, id boragewick.RequestID) string {
	return addr.String() + "/" + string(id)
}

func TestStreams(t *testing.T) {
	resumable := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 2, Resumable: true}
	withBackup := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
	neither := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1}
	rest := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last") != "3" {
			w.WriteHeader(http.StatusConflict)
			return
		}
		events(4, 6, true)(w, r)
	}
	tests := map[string]struct {
		route    boragewick.HostRoute
		rest     script
		complete bool
		sent     int
		copy     bool
	}{
		"resumed after the last complete event": {resumable, rest, true, 2, false},
		"recovered from its backup":             {withBackup, rest, true, 2, true},
		"backup has no copy":                    {withBackup, refuse, false, 2, true},
		"neither":                               {neither, rest, false, 1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t, test.route, nil, []script{nil}, []script{nil})
			g.Mover = &fakeMover{}
			sequence := firstThen(events(1, 3, false), test.rest)
			for _, e := range g.endpoints {
				e.scripts = []script{sequence}
			}
			code, got, _, err := g.send(t, "/r/x", nil)
			if code != 200 || (err == nil) != test.complete {
				t.Fatalf("status %d, complete %t: %v", code, err == nil, err)
			}
			want := "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"
			if test.complete {
				want += "id: 4\ndata: x\n\nid: 5\ndata: x\n\nid: 6\ndata: x\n\n"
			}
			if got != want {
				t.Errorf("the caller got %q", got)
			}
			if g.totalRequests() != test.sent {
				t.Errorf("%d requests to endpoints, want %d", g.totalRequests(), test.sent)
			}
			copied := false
			for _, e := range g.endpoints {
				for _, h := range e.received {
					copied = copied || h.Get("From") != ""
				}
			}
			if copied != test.copy {
				t.Errorf("resumed from a copy: %t, want %t", copied, test.copy)
			}
		})
	}
}

// TestBackupUnreachable guards against a second run of a stream that is not
// resumable: its engine and its backup fail together, and a third endpoint must
// not get the request.
func TestBackupUnreachable(t *testing.T) {
	g := newTestGateway(t, boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 2, SessionAffinity: true}, nil,
		[]script{nil}, []script{nil}, []script{nil})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachable := netip.MustParseAddrPort(l.Addr().String())
	_ = l.Close()
	for _, e := range g.endpoints {
		e.scripts = []script{events(1, 2, false)}
	}
	g.Mover = unreachableBackup{unreachable}
	g.Placer = &unreachablePlacer{g.Placer, unreachable}
	if _, _, _, err := g.send(t, "/r/x", nil); err == nil {
		t.Error("the broken stream ended without an error")
	}
	if n := g.totalRequests(); n != 1 {
		t.Errorf("ran %d times, want once", n)
	}
}

// unreachableBackup is a Mover whose backup copies are all at an address where
// nothing listens.
type unreachableBackup struct{ addr netip.AddrPort }

func (b unreachableBackup) Move(context.Context, *boragewick.Endpoint, boragewick.RequestID, netip.AddrPort) (string, error) {
	return "", nil
}

func (b unreachableBackup) Backup(netip.AddrPort, boragewick.RequestID) string {
	return b.addr.String() + "/x"
}

// unreachablePlacer gives the second candidate an address where nothing listens.
type unreachablePlacer struct {
	boragewick.Placer
	addr netip.AddrPort
}

func (p *unreachablePlacer) Select(ctx context.Context, s boragewick.Selection) ([]boragewick.Candidate, error) {
	list, err := p.Placer.Select(ctx, s)
	if len(list) > 1 {
		list[1].Endpoint.Agent = p.addr
	}
	return list, err
}
