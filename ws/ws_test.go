package ws_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/certfiles"
	"github.com/boragewick/boragewick/certs"
	"github.com/boragewick/boragewick/link"
	"github.com/boragewick/boragewick/linkserver"
	"github.com/boragewick/boragewick/ws"
)

// loopback is the address of the test servers.
var loopback = []netip.Addr{netip.MustParseAddr("127.0.0.1")}

// issuer issues certificates for a test.
type issuer struct {
	t   *testing.T
	dir string
	*certs.Authority
}

// newIssuer creates a certificate authority in a temporary directory.
func newIssuer(t *testing.T) *issuer {
	dir := t.TempDir()
	now := time.Now()
	a, err := certs.Create(dir, "test", now, now.Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	return &issuer{t, dir, a}
}

// issueFiles issues a certificate that is valid until notAfter.
func (i *issuer) issueFiles(instance string, notAfter time.Time) certfiles.Files {
	path := filepath.Join(i.dir, instance+".pem")
	if err := i.Issue(path, instance, loopback, time.Now(), notAfter); err != nil {
		i.t.Fatal(err)
	}
	return certfiles.Files{Authority: filepath.Join(i.dir, certs.AuthorityFile), Instance: path}
}

// serve starts a link server, with TLS if the files are set.
func serve(t *testing.T, f certfiles.Files) netip.AddrPort {
	s := &linkserver.Server{Hello: boragewick.Hello{Instance: "server"}}
	s.Handle("who", boragewick.HandlerFunc(func(ctx context.Context, st boragewick.Stream) error {
		h, _ := boragewick.RemoteHello(ctx)
		return st.Send(ctx, h.Instance)
	}))
	srv := httptest.NewUnstartedServer(s)
	if f.IsSet() {
		config, err := f.Server()
		if err != nil {
			t.Fatal(err)
		}
		srv.TLS = config
		srv.StartTLS()
	} else {
		srv.Start()
	}
	t.Cleanup(srv.Close)
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	return netip.MustParseAddrPort(srv.Listener.Addr().String())
}

func TestLinkAuthenticatesBothSides(t *testing.T) {
	ours, other := newIssuer(t), newIssuer(t)
	future := time.Now().Add(time.Hour)
	past := time.Now().Add(-time.Minute)
	tests := map[string]struct {
		server, client certfiles.Files
		instance       string
		ok             bool
	}{
		"unencrypted on loopback":     {instance: "a", ok: true},
		"both with certificates":      {ours.issueFiles("server", future), ours.issueFiles("a", future), "a", true},
		"client without certificate":  {server: ours.issueFiles("server", future), instance: "a"},
		"client of another authority": {ours.issueFiles("server", future), other.issueFiles("a", future), "a", false},
		"server of another authority": {other.issueFiles("server", future), ours.issueFiles("a", future), "a", false},
		"server without TLS":          {client: ours.issueFiles("a", future), instance: "a"},
		"client expired":              {ours.issueFiles("server", future), ours.issueFiles("old", past), "old", false},
		"client with another's name":  {ours.issueFiles("server", future), ours.issueFiles("a", future), "b", false},
		"server with another's name":  {ours.issueFiles("spare", future), ours.issueFiles("a", future), "a", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tr := &ws.Transport{}
			if tt.client.IsSet() {
				tr.TLS = tt.client.Client
			}
			l := &link.Link{Addr: serve(t, tt.server), Dialer: tr, Hello: boragewick.Hello{Instance: tt.instance}}
			defer func() { _ = l.Close() }()
			var got string
			err := boragewick.Call(t.Context(), l, "who", nil, &got)
			if tt.ok && (err != nil || got != tt.instance) {
				t.Errorf("got %q, error %v", got, err)
			}
			if !tt.ok && (!errors.Is(err, boragewick.ErrLinkLost) || !errors.Is(err, boragewick.ErrNotRun)) {
				t.Errorf("error %v, want ErrLinkLost marked ErrNotRun", err)
			}
		})
	}
}

func TestCertificatesAreReloaded(t *testing.T) {
	i := newIssuer(t)
	now := time.Now()
	server, client := i.issueFiles("server", now.Add(-time.Minute)), i.issueFiles("a", now.Add(time.Hour))
	l := &link.Link{Addr: serve(t, server), Dialer: &ws.Transport{TLS: client.Client}, Hello: boragewick.Hello{Instance: "a"}}
	defer func() { _ = l.Close() }()
	if err := boragewick.Call(t.Context(), l, "who", nil, new(string)); err == nil {
		t.Fatal("an expired certificate was accepted")
	}
	i.issueFiles("server", now.Add(time.Hour))
	if err := boragewick.Call(t.Context(), l, "who", nil, new(string)); err != nil {
		t.Errorf("after the rotation: %v", err)
	}
}

func TestUnencryptedLinksRequireLoopback(t *testing.T) {
	remoteAddr := netip.MustParseAddrPort("192.0.2.1:80")
	tests := map[string]struct {
		transport ws.Transport
		addr      netip.AddrPort
		ok        bool
	}{
		"loopback":              {addr: netip.MustParseAddrPort("127.0.0.1:80"), ok: true},
		"IPv6 loopback":         {addr: netip.MustParseAddrPort("[::1]:80"), ok: true},
		"elsewhere":             {addr: remoteAddr},
		"allowed explicitly":    {transport: ws.Transport{InsecureOK: true}, addr: remoteAddr, ok: true},
		"with TLS":              {transport: ws.Transport{TLS: certfiles.Files{}.Client}, addr: remoteAddr, ok: true},
		"any":                   {addr: netip.MustParseAddrPort("0.0.0.0:80")},
		"IPv4-mapped elsewhere": {addr: netip.MustParseAddrPort("[::ffff:192.0.2.1]:80")},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			err := tt.transport.CheckAddr(tt.addr)
			if (err == nil) != tt.ok || err != nil && !errors.Is(err, boragewick.ErrBadSettings) {
				t.Errorf("CheckAddr: %v", err)
			}
		})
	}
}

func TestAcceptRefusesUnencryptedRemote(t *testing.T) {
	r := httptest.NewRequest(http.MethodGet, ws.Path, nil)
	r.RemoteAddr = "192.0.2.1:4000"
	w := httptest.NewRecorder()
	_, err := new(ws.Transport).Accept(w, r)
	if !errors.Is(err, boragewick.ErrBadSettings) || w.Code != http.StatusForbidden {
		t.Errorf("status %d, error %v", w.Code, err)
	}
}

// TestPiecesAreProgress guards against a connection that doesn't tell that a message is arriving.
func TestPiecesAreProgress(t *testing.T) {
	const pieces = 5
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := websocket.Accept(w, r, nil)
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = c.CloseNow() }()
		message, err := c.Writer(r.Context(), websocket.MessageBinary)
		if err != nil {
			t.Error(err)
			return
		}
		for range pieces {
			_, _ = message.Write(make([]byte, 10_000))
			time.Sleep(20 * time.Millisecond)
		}
		_ = message.Close()
		<-r.Context().Done()
	}))
	t.Cleanup(srv.Close)
	conn, err := (&ws.Transport{}).Dial(t.Context(), netip.MustParseAddrPort(srv.Listener.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	var at []time.Time
	conn.(boragewick.ProgressConn).OnProgress(func() { at = append(at, time.Now()) })
	b, err := conn.ReadMessage()
	if err != nil || len(b) != pieces*10_000 {
		t.Fatalf("%d bytes: %v", len(b), err)
	}
	if n := len(at); n < pieces || at[n-1].Sub(at[0]) < 3*20*time.Millisecond {
		t.Errorf("%d reports within %v", n, at[len(at)-1].Sub(at[0]))
	}
}
