package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// TestHalfClosedCaller guards against a success that no endpoint gave: a caller that ended
// its side of the connection and still read got an empty 200 for a request that was given
// up.
func TestHalfClosedCaller(t *testing.T) {
	slow := func(answer script) script {
		return func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(300 * time.Millisecond):
				answer(w, r)
			case <-r.Context().Done():
			}
		}
	}
	streaming := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 2, Resumable: true}
	runOnce := boragewick.HostRoute{Kind: boragewick.RunOnce, Attempts: 2}
	repeatable := boragewick.HostRoute{Kind: boragewick.Repeatable, Attempts: 2}
	tests := map[string]struct {
		route  boragewick.HostRoute
		path   string
		script script
		// length is the stated length of a body of 4 bytes.
		length int
		want   string
	}{
		"run once, at work":           {runOnce, "/r/x", slow(ok), 4, "answer"},
		"repeatable, at work":         {repeatable, "/r/x", slow(ok), 4, "answer"},
		"repeatable, fails":           {repeatable, "/r/x", slow(abortConnection), 4, "answer"},
		"refused":                     {runOnce, "/r/x", slow(refuse), 4, "answer"},
		"stream before its first":     {streaming, "/r/x", slow(events(1, 3, true)), 4, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"},
		"body that isn't whole":       {runOnce, "/r/x", ok, 400, "answer"},
		"unknown route":               {runOnce, "/other", ok, 4, "answer"},
		"unknown route, part of body": {runOnce, "/other", ok, 400, "answer"},
		"body that is too long":       {runOnce, "/r/x", ok, 4000, "answer"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newTestGateway(t, test.route, nil, []script{test.script}, []script{test.script})
			c, err := net.Dial("tcp4", strings.TrimPrefix(g.server.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nId: one\r\nContent-Length: %d\r\n\r\nbody", test.path, test.length)
			time.Sleep(50 * time.Millisecond)
			_ = c.(*net.TCPConn).CloseWrite()
			resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
			if err != nil {
				return // the connection has ended without a response
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if resp.StatusCode < 300 && (err != nil || string(body) != test.want || resp.Header.Get("Id") != "one") {
				t.Errorf("status %d, %q, header %v: %v", resp.StatusCode, body, resp.Header, err)
			}
		})
	}
}
