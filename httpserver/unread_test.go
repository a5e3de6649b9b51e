package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/standin/pipenet"
)

const (
	answerBytes = 100 << 10
	unread      = 2 * time.Second
)

// TestUnreadResponse guards against a caller that stops reading and holds a handler for
// ever, one that reads slowly but steadily and is cut off, and a response that is cut off
// and looks complete.
func TestUnreadResponse(t *testing.T) {
	tests := map[string]struct {
		// timeout is set by the handler; zero keeps that of the server.
		timeout time.Duration
		// gap is the time between two reads of readBytes each; zero reads nothing.
		gap       time.Duration
		readBytes int64
		complete  bool
		// endsBy bounds the time of the handler.
		endsBy time.Duration
	}{
		"stops reading":                   {0, 0, 0, false, unread * 3 / 2},
		"stops reading, longer timeout":   {4 * unread, 0, 0, false, 6 * unread},
		"a byte now and then":             {0, unread * 3 / 4, 1, false, time.Hour}, // until the end of the test
		"slowly but steadily":             {0, unread * 3 / 4, 1 << 10, true, 10 * time.Minute},
		"seldom, within a longer timeout": {4 * unread, 3 * unread, 8 << 10, true, 10 * time.Minute},
		"too seldom":                      {0, 2 * unread, 8 << 10, false, 2 * unread},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				var l pipenet.Listener
				type result struct {
					took time.Duration
					err  error
				}
				ended := make(chan result, 1)
				var cut atomic.Int32
				s := &Server{
					Listener: &l, UnreadTimeout: unread,
					OnUnread: func(net.Addr, time.Duration) { cut.Add(1) },
					Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						if test.timeout > 0 {
							boragewick.CallerConnFrom(r.Context()).SetUnreadTimeout(test.timeout)
						}
						started := time.Now()
						_, err := io.WriteString(w, strings.Repeat("x", answerBytes))
						ended <- result{time.Since(started), err}
						if err != nil {
							panic(http.ErrAbortHandler)
						}
					}),
				}
				go func() { _ = s.Run(ctx) }()
				c, err := l.Dial(ctx, "", "")
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				if test.gap == 0 {
					time.Sleep(time.Minute)
				}
				r := &slowReader{c, test.gap, test.readBytes, time.Now().Add(time.Hour)}
				read, complete := readResponse(r)
				if name == "a byte now and then" {
					if cut.Load() != 0 {
						t.Error("cut off")
					}
					return
				}
				handler := <-ended
				if complete != test.complete || (cut.Load() == 0) != test.complete || errors.Is(handler.err, boragewick.ErrUnread) == test.complete {
					t.Errorf("complete %t after %d bytes, %d cut off, %v", complete, read, cut.Load(), handler.err)
				}
				if handler.took > test.endsBy {
					t.Errorf("the handler took %s", handler.took)
				}
			})
		})
	}
}

// slowReader reads n bytes of the connection at a time, with a gap before each read, until
// a time.
type slowReader struct {
	net.Conn
	gap   time.Duration
	n     int64
	until time.Time
}

func (s *slowReader) Read(p []byte) (int, error) {
	if time.Now().After(s.until) {
		return 0, io.ErrUnexpectedEOF
	}
	time.Sleep(s.gap)
	if s.n > 0 {
		p = p[:min(int64(len(p)), s.n)]
	}
	return s.Conn.Read(p)
}

// readResponse returns how much of the response's body can be read, and whether it is
// complete.
func readResponse(r io.Reader) (int64, bool) {
	resp, err := http.ReadResponse(bufio.NewReader(r), nil)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	return n, err == nil && n == answerBytes
}

// TestUnreadResponseTCP guards against progress that is not seen on a real connection,
// where the kernel takes data ahead of the caller and reports room only in large steps.
func TestUnreadResponseTCP(t *testing.T) {
	const size, timeout = 2 << 20, 400 * time.Millisecond
	tests := map[string]struct {
		// pause is made after each read of 32 KiB.
		pause    time.Duration
		complete bool
	}{
		// The kernel takes some 100 KB at a time from the server, so it shows the reads of four pauses
		// at once.
		"slowly but steadily": {timeout / 8, true},
		"stops reading":       {3 * timeout, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := &Server{Listener: l, UnreadTimeout: timeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if _, err := io.WriteString(w, strings.Repeat("x", size)); err != nil {
					panic(http.ErrAbortHandler)
				}
			})}
			go func() { _ = s.Run(t.Context()) }()
			c, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
			_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
			var n int64
			for err == nil {
				var got int64
				got, err = io.CopyN(io.Discard, c, 32<<10)
				n += got
				time.Sleep(test.pause)
			}
			if n > size != test.complete {
				t.Errorf("%d bytes, %v", n, err)
			}
			if !test.complete && errors.Is(err, io.EOF) {
				t.Error("ended like a complete response")
			}
		})
	}
}
