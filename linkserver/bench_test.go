package linkserver_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/greeting"
	"github.com/boragewick/boragewick/link"
	"github.com/boragewick/boragewick/linkserver"
	"github.com/boragewick/boragewick/ws"
)

// idleLinks is how many links the memory benchmark opens.
const idleLinks = 1000

// request is a small unary request. The reply has the same content.
type request struct {
	ID     string   `cbor:"id" json:"id"`
	Blocks []uint64 `cbor:"blocks" json:"blocks"`
}

var sampleRequest = request{ID: "req_0123456789abcdef", Blocks: []uint64{1 << 60, 2 << 60, 3 << 60, 4 << 60}}

// startBenchServer starts a link server on the loopback.
func startBenchServer(b *testing.B) (*linkserver.Server, netip.AddrPort) {
	s := &linkserver.Server{}
	s.Handle("ask", boragewick.HandlerFunc(func(ctx context.Context, st boragewick.Stream) error {
		var q request
		if err := st.Recv(ctx, &q); err != nil {
			return err
		}
		return st.Send(ctx, q)
	}))
	s.Handle("pour", boragewick.HandlerFunc(func(ctx context.Context, st boragewick.Stream) error {
		var size int
		if err := st.Recv(ctx, &size); err != nil {
			return err
		}
		chunk := make([]byte, size)
		for {
			if err := st.Send(ctx, chunk); err != nil {
				return err
			}
		}
	}))
	srv := httptest.NewServer(s)
	b.Cleanup(srv.Close)
	b.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Shutdown(ctx)
	})
	return s, netip.MustParseAddrPort(srv.Listener.Addr().String())
}

func BenchmarkCall(b *testing.B) {
	for _, parallel := range []int{1, 16} {
		b.Run(fmt.Sprintf("link/callers=%d", parallel), func(b *testing.B) {
			_, at := startBenchServer(b)
			l := &link.Link{Addr: at, Dialer: &ws.Transport{}}
			b.Cleanup(func() { _ = l.Close() })
			runParallel(b, parallel, func() error {
				var got request
				return boragewick.Call(b.Context(), l, "ask", sampleRequest, &got)
			})
		})
		b.Run(fmt.Sprintf("http/callers=%d", parallel), func(b *testing.B) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var q request
				_ = json.NewDecoder(r.Body).Decode(&q)
				_ = json.NewEncoder(w).Encode(q)
			}))
			b.Cleanup(srv.Close)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: parallel}}
			runParallel(b, parallel, func() error { return postRequest(client, srv.URL) })
		})
	}
}

// postRequest sends sampleRequest over plain HTTP.
func postRequest(c *http.Client, url string) error {
	r, w := io.Pipe()
	go func() { _ = w.CloseWithError(json.NewEncoder(w).Encode(sampleRequest)) }()
	resp, err := c.Post(url, "application/json", r)
	if err != nil {
		return err
	}
	var got request
	err = json.NewDecoder(resp.Body).Decode(&got)
	_, _ = io.Copy(io.Discard, resp.Body)
	return errors.CombineErrors(err, resp.Body.Close())
}

// runParallel calls f b.N times in all from parallel goroutines.
func runParallel(b *testing.B, parallel int, f func() error) {
	b.ReportAllocs()
	calls := make(chan struct{}, b.N)
	for range b.N {
		calls <- struct{}{}
	}
	close(calls)
	done := make(chan error, parallel)
	b.ResetTimer()
	for range parallel {
		go func() {
			var err error
			for range calls {
				err = errors.CombineErrors(err, f())
			}
			done <- err
		}()
	}
	for range parallel {
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}

func BenchmarkStream(b *testing.B) {
	for _, size := range []int{100, 16 << 10} {
		b.Run(fmt.Sprintf("link/bytes=%d", size), func(b *testing.B) {
			_, at := startBenchServer(b)
			l := &link.Link{Addr: at, Dialer: &ws.Transport{}}
			b.Cleanup(func() { _ = l.Close() })
			st, err := l.Open(b.Context(), "pour", size)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			b.SetBytes(int64(size))
			var chunk []byte
			for b.Loop() {
				if err := st.Recv(b.Context(), &chunk); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("http/bytes=%d", size), func(b *testing.B) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				chunk := make([]byte, size)
				for {
					if _, err := w.Write(chunk); err != nil {
						return
					}
					w.(http.Flusher).Flush()
				}
			}))
			b.Cleanup(srv.Close)
			resp, err := http.Get(srv.URL)
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { _ = resp.Body.Close() })
			b.ReportAllocs()
			b.SetBytes(int64(size))
			chunk := make([]byte, size)
			for b.Loop() {
				if _, err := io.ReadFull(resp.Body, chunk); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkIdleLink(b *testing.B) {
	tests := map[string]func(b *testing.B, at netip.AddrPort) (end func()){
		"both sides":  openLink,
		"server side": openRawConn,
	}
	for name, open := range tests {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				_, at := startBenchServer(b)
				before := memoryInUse()
				var ends []func()
				for range idleLinks {
					ends = append(ends, open(b, at))
				}
				b.ReportMetric(float64(memoryInUse()-before)/idleLinks/1024, "KB/link")
				for _, end := range ends {
					end()
				}
			}
		})
	}
}

// memoryInUse returns the bytes of heap and stacks after garbage collection.
func memoryInUse() uint64 {
	var m runtime.MemStats
	for range 4 {
		runtime.GC()
		time.Sleep(500 * time.Millisecond) // idle workers end within a second
	}
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// openLink connects a link and makes one call.
func openLink(b *testing.B, at netip.AddrPort) func() {
	l := &link.Link{Addr: at, Dialer: &ws.Transport{}}
	var got request
	if err := boragewick.Call(b.Context(), l, "ask", sampleRequest, &got); err != nil {
		b.Fatal(err)
	}
	return func() { _ = l.Close() }
}

// openRawConn opens a TCP connection that sends only the WebSocket handshake
// and a greeting.
func openRawConn(b *testing.B, at netip.AddrPort) func() {
	conn, err := net.Dial("tcp", at.String())
	if err != nil {
		b.Fatal(err)
	}
	body, err := cbor.Marshal(greeting.New(boragewick.Hello{}, boragewick.LinkSettings{}.WithDefaults()))
	if err != nil {
		b.Fatal(err)
	}
	req := "GET " + ws.Path + " HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" +
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
	msg := binary.BigEndian.AppendUint16([]byte(req+"\x82\xfe"), uint16(len(body)))
	msg = append(msg, 0, 0, 0, 0)
	if _, err := conn.Write(append(msg, body...)); err != nil {
		b.Fatal(err)
	}
	answer := make([]byte, 512)
	if _, err := io.ReadAtLeast(conn, answer, 150); err != nil {
		b.Fatal(err)
	}
	return func() { _ = conn.Close() }
}
