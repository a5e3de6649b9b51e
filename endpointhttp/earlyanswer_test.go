package endpointhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// TestResetEarlyAnswer guards against a part of an answer without a length that is taken for all of
// it, as the endpoint reset the connection while a long request was still being written.
func TestResetEarlyAnswer(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.ReadFull(c, make([]byte, 2000))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
				time.Sleep(50 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
		}
	}()
	c := Caller{Endpoint: netip.MustParseAddrPort(l.Addr().String())}
	for i := range 20 {
		resp, err := c.Do(t.Context(), &Call{Method: http.MethodPost, Path: "/", Body: make([]byte, 16<<20)})
		if err != nil {
			continue
		}
		b, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			t.Errorf("call %d: read %q as complete", i, b)
		}
	}
}

// TestInvalidStatus guards against an answer whose status is no status of HTTP and that is passed
// on as an answer.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 4\r\n\r\nbody")
				_ = c.Close()
			}()
			c := Caller{Endpoint: netip.MustParseAddrPort(l.Addr().String())}
			resp, err := c.Do(t.Context(), &Call{Method: http.MethodGet, Path: "/"})
			if err == nil {
				_ = resp.Body.Close()
				t.Fatalf("status %d", resp.StatusCode)
			}
			if !errors.Is(err, boragewick.ErrEndpointFailed) || errors.Is(err, boragewick.ErrNotRun) {
				t.Error(err)
			}
		})
	}
}
