package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// answerEarly starts an endpoint that answers a request before it has read it, and resets the
// connection or, if whole is set, reads the rest and ends the response.
func answerEarly(t *testing.T, response string, whole bool) netip.AddrPort {
	t.Helper()
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
				defer c.Close()
				_, _ = io.ReadFull(c, make([]byte, 2000))
				_, _ = io.WriteString(c, response)
				time.Sleep(50 * time.Millisecond)
				if !whole {
					_ = c.(*net.TCPConn).SetLinger(0)
					return
				}
				_ = c.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, c)
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestResetEarlyAnswer guards against a part of a response without a length that is taken for all
// of it: the endpoint reset the connection while a long request was still being written, and the
// write got the error in place of the read.
func TestResetEarlyAnswer(t *testing.T) {
	const head, closing = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	tests := map[string]struct {
		response string
		whole    bool
		complete bool
	}{
		"no length, reset":                  {head + "\r\npart", false, false},
		"no length, closing, reset":         {closing + "\r\npart", false, false},
		"no length, empty, reset":           {head + "\r\n", false, false},
		"event stream, reset":               {head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n", false, false},
		"no length, whole":                  {head + "\r\nbody", true, true},
		"length, cut":                       {head + "Content-Length: 5\r\n\r\npart", false, false},
		"length, whole before the reset":    {head + "Content-Length: 4\r\n\r\nbody", false, true},
		"chunks, cut":                       {head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false, false},
		"chunks, whole before the reset":    {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false, true},
		"refusal without a length, reset":   {"HTTP/1.1 503 Service Unavailable\r\n\r\npart", false, false},
		"HTTP/1.0, without a length, reset": {"HTTP/1.0 200 OK\r\n\r\npart", false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := answerEarly(t, test.response, test.whole)
			for range 5 {
				var c Client
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				resp, err := c.Send(ctx, addr, &Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 16<<20)})
				if err != nil {
					t.Fatal(err)
				}
				b, err := io.ReadAll(resp)
				_ = resp.Close()
				cancel()
				if (err == nil) != test.complete {
					t.Fatalf("read %q, %v", b, err)
				}
			}
		})
	}
}

// TestInvalidStatus guards against a response whose status is no status of HTTP. Those below 100
// were taken for interim responses, so that the client waited for another one until the deadline,
// or took what followed for the answer.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "700", "999"} {
		for name, rest := range map[string]string{
			"no body":       "\r\n\r\n",
			"length zero":   " Odd\r\nContent-Length: 0\r\n\r\n",
			"body":          " Odd\r\nContent-Length: 4\r\n\r\nbody",
			"then a second": " Odd\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				t.Parallel()
				l, err := net.Listen("tcp4", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = l.Close() })
				go func() {
					c, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = http.ReadRequest(bufio.NewReader(c))
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+rest)
					_, _ = io.Copy(io.Discard, c)
					_ = c.Close()
				}()
				var client Client
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				begun := time.Now()
				resp, err := client.Send(ctx, netip.MustParseAddrPort(l.Addr().String()), &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
				if err == nil {
					b, _ := io.ReadAll(resp)
					_ = resp.Close()
					t.Fatalf("status %d with %q", resp.StatusCode, b)
				}
				if errors.Is(err, ErrNotSent) || strings.Contains(err.Error(), "deadline") || time.Since(begun) > time.Second {
					t.Errorf("after %v: %v", time.Since(begun), err)
				}
			})
		}
	}
}
