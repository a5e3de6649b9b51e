package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server stands in for a server of the users: it registers with the control processes
// and answers requests on its channels, one at a time.
type server struct {
	*deployment
	service, id string
	host        int
	models      []any
	slots       int
	// software is the version of the server's software; v1 if empty.
	software string
	// firstBeat is how late the first heartbeat is sent.
	firstBeat time.Duration
	// answer answers a request that this server runs, on the channel. It returns false
	// to close the channel.
	answer func(s *server, c *serverChannel, q *serverRequest) bool

	born     int64
	listener net.Listener
	stop     chan struct{}
	channels sync.Map // of *serverChannel

	mu     sync.Mutex
	seq    int
	state  string
	silent bool
}

// serverRequest is a request that has reached a server.
type serverRequest struct {
	*http.Request
	id   string
	body []byte
}

// serverChannel is a channel to a server.
type serverChannel struct {
	net.Conn
	r *bufio.Reader
	// served counts the requests on the channel.
	served int
}

// startServer starts a server at the app port of the host, and its heartbeats.
func (d *deployment) startServer(s *server) error {
	l, err := net.Listen("tcp4", d.addr(s.host, appPort))
	if err != nil {
		return err
	}
	s.deployment, s.listener, s.stop, s.state, s.born = d, l, make(chan struct{}), "ready", time.Now().UnixMilli()
	if s.slots == 0 {
		s.slots = 6
	}
	if s.software == "" {
		s.software = "v1"
	}
	go s.accept()
	go s.sendHeartbeats()
	return nil
}

func (s *server) address() string { return s.addr(s.host, appPort) }

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		ch := &serverChannel{Conn: c, r: bufio.NewReader(c)}
		s.channels.Store(ch, true)
		go s.serve(ch)
	}
}

// crash ends the server at once and resets its channels.
func (s *server) crash() {
	close(s.stop)
	_ = s.listener.Close()
	s.channels.Range(func(c, _ any) bool {
		c.(*serverChannel).reset()
		return true
	})
}

// beat returns the path and the body of the next heartbeat.
func (s *server) beat() (path string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	models := s.models
	if models == nil {
		models = []any{}
	}
	body, _ = json.Marshal(object{
		"service": s.service, "address": s.address(), "zone": s.zone(s.host), "version": s.software, "slots": s.slots,
		"state": s.state, "coldRemainingMs": 0, "stage": "both", "models": models, "seq": s.seq, "born": s.born,
	})
	return "/instances/" + s.id, body
}

func (s *server) sendHeartbeats() {
	time.Sleep(s.firstBeat)
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for i := 0; ; i++ {
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if !silent {
			path, body := s.beat()
			for range 3 {
				if status := call(http.MethodPut, s.controls()[i%3], path, body); status/100 == 2 {
					break
				}
				i++
			}
		}
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
	}
}

// serve answers the requests of one channel.
func (s *server) serve(c *serverChannel) {
	defer s.channels.Delete(c)
	defer c.Close()
	for {
		r, err := http.ReadRequest(c.r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		q := &serverRequest{Request: r, id: r.Header.Get("X-Boragewick-Request-Id"), body: body}
		if want := r.Header.Get("X-Boragewick-Expect-Instance"); want != "" && want != s.id {
			c.write(q, http.StatusMisdirectedRequest, nil, nil)
			continue
		}
		c.served++
		if !s.handle(c, q) {
			return
		}
	}
}

// handle answers calls of the system itself and passes the others on.
func (s *server) handle(c *serverChannel, q *serverRequest) bool {
	switch {
	case q.URL.Path == "/health":
		return c.write(q, http.StatusOK, map[string]string{"X-Boragewick-Instance-Id": s.id}, nil)
	case q.URL.Path == "/report":
		b, _ := json.Marshal(object{
			"stage": "both", "models": s.models, "busy": false, "seq": 0, "queued": 0, "active": 0,
			"kvUsed": 0, "kvTotal": 119086, "handles": 0, "runs": []any{}, "born": s.born,
		})
		return c.write(q, http.StatusOK, map[string]string{"Content-Type": "application/json"}, b)
	case strings.HasPrefix(q.URL.Path, "/kv-events"):
		time.Sleep(800 * time.Millisecond)
		b, _ := json.Marshal(object{"bootEpoch": s.born, "next": 0, "lost": false, "events": []any{}})
		return c.write(q, http.StatusOK, map[string]string{"Content-Type": "application/json"}, b)
	}
	return s.answer(s, c, q)
}

// write writes an answer to the request and reports whether that worked.
func (c *serverChannel) write(q *serverRequest, status int, header map[string]string, body []byte) bool {
	_, err := c.Write(encodeAnswer(q.id, status, header, body))
	return err == nil
}

// encodeAnswer returns an answer in wire format.
func encodeAnswer(id string, status int, header map[string]string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&b, "X-Boragewick-Request-Id: %s\r\n", id)
	}
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

// sealed returns the header of an answer that a server made for the request.
func sealed(id string) map[string]string {
	return map[string]string{"X-Boragewick-Response-Seal": "seal-" + id, "Content-Type": "text/plain"}
}

// reset closes the channel with a reset.
func (c *serverChannel) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
