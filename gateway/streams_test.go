package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/boragewick/boragewick"
)

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
