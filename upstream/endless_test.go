package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// startEndless serves connections on which the head is followed by the repeated text
// until the caller closes. The channel is closed when it does.
func startEndless(t *testing.T, head, repeated string) (netip.AddrPort, <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	closed := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer close(closed)
		defer c.Close()
		block := strings.Repeat(repeated, 1+4096/len(repeated))
		_, err = io.WriteString(c, head)
		for err == nil {
			_, err = io.WriteString(c, block)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), closed
}

// TestEndlessBytes answers the pattern of a faulty endpoint that sends bytes without
// end: the request ends by itself in a head and at its deadline in a body, the memory
// stays bounded, and the connection is closed.
func TestEndlessBytes(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\n"
		chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	)
	tests := map[string]struct {
		head, repeated string
		// atDeadline reports whether only the deadline ends the request.
		atDeadline bool
	}{
		"no status line":  {"", "x", false},
		"header lines":    {ok, "X-Name: value\r\n", false},
		"one header line": {ok + "X-Name: ", "x", false},
		"interim heads":   {"", "HTTP/1.1 102 Processing\r\n\r\n", false},
		"chunk size":      {chunked, "0", false},
		"chunk extension": {chunked + "5;", "x", false},
		"trailer":         {chunked + "0\r\n", "X-Name: value\r\n", false},
		"chunks":          {chunked, "2\r\nok\r\n", true},
		"body to the end": {ok + "\r\n", "x", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			addr, closed := startEndless(t, test.head, test.repeated)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var c Client
			resp, err := c.Send(ctx, addr, &Request{Method: http.MethodGet, URI: "/", Host: "h"})
			if err == nil {
				_, err = io.Copy(io.Discard, resp)
				resp.Discard()
			}
			if err == nil {
				t.Fatal("bytes without end taken for a complete response")
			}
			if len(err.Error()) > 1000 {
				t.Errorf("error of %d bytes", len(err.Error()))
			}
			if errors.Is(err, ErrNotSent) {
				t.Errorf("marked not sent: %v", err)
			}
			if (ctx.Err() != nil) != test.atDeadline {
				t.Errorf("at the deadline %t: %v", ctx.Err() != nil, err)
			}
			runtime.ReadMemStats(&after)
			if !test.atDeadline && after.TotalAlloc-before.TotalAlloc > 8<<20 {
				t.Errorf("%d bytes allocated", after.TotalAlloc-before.TotalAlloc)
			}
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Error("the connection is not closed")
			}
		})
	}
}
