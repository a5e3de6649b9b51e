package mirror

import (
	"bytes"
	"compress/flate"
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/link"
	"github.com/boragewick/boragewick/linkserver"
	"github.com/boragewick/boragewick/memconn"
	"github.com/boragewick/boragewick/peers"
)

// deflate returns the compressed text.
func deflate(t *testing.T, text []byte) []byte {
	t.Helper()
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = w.Write(text)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// serveReplica starts a replica that announces version 7 and sends the parts.
func serveReplica(network *memconn.Network, addr netip.AddrPort, parts []boragewick.DocumentPart) {
	s := &linkserver.Server{Hello: boragewick.Hello{Instance: addr.String()}}
	s.Handle(boragewick.MethodWatch, boragewick.HandlerFunc(func(ctx context.Context, st boragewick.Stream) error {
		for u := (boragewick.WatchUpdate{Published: 7}); ; u = (boragewick.WatchUpdate{}) {
			if err := st.Send(ctx, &u); err != nil {
				return err
			}
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}))
	s.Handle(boragewick.MethodDocument, boragewick.HandlerFunc(func(ctx context.Context, st boragewick.Stream) error {
		for i := range parts {
			if err := st.Send(ctx, &parts[i]); err != nil {
				return err
			}
		}
		return nil
	}))
	network.Listen(addr, s.ServeConn)
}

// TestBadDocuments guards against a router that a replica's malformed document keeps from the
// one that another replica has, or that it fills the memory of.
func TestBadDocuments(t *testing.T) {
	good := deflate(t, []byte("7"))
	bomb := deflate(t, make([]byte, 2*maxDocumentBytes))
	part := func(size int, data []byte) []boragewick.DocumentPart {
		return []boragewick.DocumentPart{{Version: 7, Size: size, Data: data}}
	}
	tests := map[string][]boragewick.DocumentPart{
		"good":             part(len(good), good),
		"no parts":         nil,
		"empty part":       part(len(good), nil),
		"longer than told": part(len(good)-1, good),
		"too large":        part(maxDocumentBytes+1, good),
		"cut short":        part(len(good)+1, good),
		"not compressed":   part(5, []byte("\xff\xff\xff\xff\xff")),
		"bomb":             part(len(bomb), bomb),
		"no document":      part(len(deflate(t, []byte("?"))), deflate(t, []byte("?"))),
	}
	for name, parts := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := &memconn.Network{}
				serveReplica(network, r1, parts)
				pool := &peers.Pool{Dialer: network, Hello: boragewick.Hello{Instance: "router"}}
				m := &Mirror{Instance: "router", Seeds: []netip.AddrPort{r1, r2}, Decoder: versionDecoder{}, Peers: pool, Clock: boragewick.SystemClock, Logger: log.NewNopLogger()}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					_ = m.Run(ctx)
				}()
				time.Sleep(5 * time.Second)
				if v := m.View(); (v != nil) != (name == "good") {
					t.Errorf("view %v", v)
				}
				serveReplica(network, r2, part(len(good), good))
				time.Sleep(5 * time.Second)
				if v := m.View(); v == nil || v.Table.Version != 7 {
					t.Errorf("view %v after another replica has the document", v)
				}
				cancel()
				<-done
				for _, addr := range m.Seeds {
					_ = pool.Get(addr).(*link.Link).Close()
				}
				time.Sleep(time.Minute)
			})
		})
	}
}
