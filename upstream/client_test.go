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

// endpoint answers each request on a connection with the next of the scripts.
// An empty script closes the connection.
func endpoint(t *testing.T, scripts ...string) (addr netip.AddrPort, conns *int) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	next := make(chan string, len(scripts))
	for _, s := range scripts {
		next <- s
	}
	conns = new(int)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			*conns++
			go answer(c, next)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), conns
}

func answer(c net.Conn, next <-chan string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		script := <-next
		if script == "" {
			return
		}
		if _, err := io.WriteString(c, script); err != nil {
			return
		}
	}
}

// get sends one request and reads the answer.
func get(t *testing.T, c *Client, addr netip.AddrPort) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	resp, err := c.Send(ctx, addr, &Request{Method: "POST", URI: "/a", Host: "h", Body: []byte("b"), HasBody: true})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	b, err := io.ReadAll(resp)
	return string(b), err
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestReuse(t *testing.T) {
	tests := map[string]struct {
		first string
		conns int
	}{
		"whole answer":       {whole, 1},
		"the endpoint won't": {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 2},
		"keeps it too short": {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", 2},
		"bytes too many":     {whole + "more", 2},
		"a second answer":    {whole + whole, 2},
		"interim heads":      {"HTTP/1.1 100 Continue\r\n\r\n" + whole, 1},
		"no content":         {"HTTP/1.1 204 No Content\r\n\r\n", 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var c Client
			addr, conns := endpoint(t, test.first, whole)
			if _, err := get(t, &c, addr); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond) // for bytes that come late
			if b, err := get(t, &c, addr); err != nil || b != "ok" {
				t.Fatalf("second answer %q, %v", b, err)
			}
			if *conns != test.conns {
				t.Errorf("%d connections, want %d", *conns, test.conns)
			}
		})
	}
}

func TestBrokenAnswers(t *testing.T) {
	tests := map[string]string{
		"short body":     "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"cut chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
		"no last chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"no answer":      "",
		"no HTTP":        "hello\r\n\r\n",
		"endless heads":  strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterim),
		"cut in a field": "HTTP/1.1 200 OK\r\nContent-Len",
	}
	for name, script := range tests {
		t.Run(name, func(t *testing.T) {
			var c Client
			addr, _ := endpoint(t, script, "")
			if b, err := get(t, &c, addr); err == nil {
				t.Errorf("%q passed for whole", b)
			} else if errors.Is(err, ErrNotSent) {
				t.Errorf("a request that was sent counts as not sent: %v", err)
			}
		})
	}
}

func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(l.Addr().String())
	_ = l.Close()
	var c Client
	if _, err := get(t, &c, addr); !errors.Is(err, ErrNotSent) {
		t.Errorf("no listener: %v", err)
	}
}

// TestClosedIdleConnection is an endpoint that drops an idle connection: the
// request goes over a new one and is not lost.
func TestClosedIdleConnection(t *testing.T) {
	var c Client
	addr, conns := endpoint(t, whole, whole)
	if _, err := get(t, &c, addr); err != nil {
		t.Fatal(err)
	}
	c.mu.Lock()
	idle := c.idle[addr][0]
	c.mu.Unlock()
	_ = idle.Conn.(*net.TCPConn).CloseRead()
	if _, err := get(t, &c, addr); err != nil {
		t.Fatal(err)
	}
	if *conns != 2 {
		t.Errorf("%d connections", *conns)
	}
}

func TestCancelEndsTheConnection(t *testing.T) {
	var c Client
	addr, _ := endpoint(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := c.Send(ctx, addr, &Request{Method: "GET", URI: "/", Host: "h"})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := io.ReadAll(resp); err == nil {
		t.Error("a cancelled request was read to its end")
	}
}

func TestSweepClosesExpired(t *testing.T) {
	var c Client
	addr, _ := endpoint(t, whole)
	if _, err := get(t, &c, addr); err != nil {
		t.Fatal(err)
	}
	c.Sweep()
	if len(c.idle[addr]) != 1 {
		t.Fatal("a usable connection was closed")
	}
	c.idle[addr][0].until = time.Now()
	c.Sweep()
	if len(c.idle) != 0 {
		t.Error("an expired connection is kept")
	}
}
