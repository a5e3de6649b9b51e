package httpserver

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestEndIdle guards against a connection that is closed although a request has arrived on it
// or is handled, and against one that is left open after its last request.
func TestEndIdle(t *testing.T) {
	const (
		idle   = http.StateIdle
		active = http.StateActive
	)
	tests := map[string]struct {
		// prepare runs before the connection is ended as an idle one.
		prepare func(c *testConn)
		// after runs before the read whose result is checked.
		after func(c *testConn)
		read  bool
	}{
		"idle":                              {func(*testConn) {}, func(*testConn) {}, false},
		"a request has arrived":             {func(c *testConn) { c.send() }, func(*testConn) {}, true},
		"a request arrives just afterwards": {func(*testConn) {}, func(c *testConn) { c.send() }, true},
		"a part of a request was read":      {func(c *testConn) { c.send(); c.read() }, func(c *testConn) { c.send() }, true},
		"a request is handled":              {func(c *testConn) { c.state(active) }, func(c *testConn) { c.send() }, true},
		"a request arrived while another was handled": {
			func(c *testConn) { c.state(active); c.send() }, func(c *testConn) { c.state(idle) }, true,
		},
		"idle after a request that was handled": {
			func(c *testConn) { c.state(active) }, func(c *testConn) { c.state(idle) }, false,
		},
		"the deadline is set anew": {
			func(*testConn) {}, func(c *testConn) { _ = c.SetReadDeadline(time.Now().Add(time.Minute)) }, false,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTestConn(t)
			c.state(active)
			c.state(idle)
			test.prepare(c)
			c.conns.stopping.Store(true)
			c.conns.endIdle()
			test.after(c)
			if read := c.read(); read != test.read {
				t.Errorf("read %t, want %t", read, test.read)
			}
		})
	}
}

// TestEndIdleBesideRequests guards against a request that is lost as it arrives at the very
// moment at which its idle connection is ended: it is read, or its connection is closed before
// any of it was.
func TestEndIdleBesideRequests(t *testing.T) {
	for range 200 {
		c := newTestConn(t)
		c.state(http.StateActive)
		c.state(http.StateIdle)
		read := make(chan bool)
		go func() { first := c.read(); read <- first && c.read() }()
		go c.conns.endIdle()
		c.send()
		if !<-read && c.requested {
			t.Fatal("a request was read in part and ended")
		}
	}
}

// testConn is a callerConn of a server with a caller.
type testConn struct {
	*callerConn
	conns  *conns
	caller net.Conn
}

func newTestConn(t *testing.T) *testConn {
	t.Helper()
	tcp, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	caller := dial(t, tcp.Addr().String())
	l := &callerListener{Listener: tcp}
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	c := &testConn{callerConn: nc.(*callerConn), conns: &conns{}, caller: caller}
	c.state(http.StateNew)
	return c
}

func (c *testConn) state(s http.ConnState) { c.conns.connState(c.callerConn, s) }

// send sends a part of a request of two bytes and waits until it has arrived.
func (c *testConn) send() {
	_, _ = io.WriteString(c.caller, "PO")
	time.Sleep(5 * time.Millisecond)
}

// read reports whether a byte can be read.
func (c *testConn) read() bool {
	n, _ := c.Read(make([]byte, 1))
	return n > 0
}
