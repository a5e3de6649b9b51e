package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"time"
)

// channel is a caller's connection to a router.
type channel struct {
	net.Conn
	r *bufio.Reader
}

// callerRequest is one request of a caller.
type callerRequest struct {
	method, host, path, id, key string
	timeout                     time.Duration
	header                      map[string]string
	body                        []byte
}

// callerAnswer is what a caller got.
type callerAnswer struct {
	status int
	header http.Header
	body   []byte
	// err is set if the answer is incomplete or there is none.
	err  error
	took time.Duration
}

func openChannel(addr string) (*channel, error) {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: c, r: bufio.NewReader(c)}, nil
}

// send sends the request on the channel and reads the answer.
func (c *channel) send(q *callerRequest) callerAnswer {
	begun := time.Now()
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Boragewick-Request-Id: %s\r\nX-Boragewick-Deadline-Ms: %d\r\n",
		q.method, q.path, q.host, q.id, q.timeout.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", q.key)
	}
	names := make([]string, 0, len(q.header))
	for name := range q.header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(&b, "%s: %s\r\n", name, q.header[name])
	}
	if len(q.body) > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	_ = c.SetDeadline(begun.Add(q.timeout + 2*time.Second))
	if _, err := c.Write(b.Bytes()); err != nil {
		return callerAnswer{err: err, took: time.Since(begun)}
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: q.method})
	if err != nil {
		return callerAnswer{err: err, took: time.Since(begun)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return callerAnswer{status: resp.StatusCode, header: resp.Header, body: body, err: err, took: time.Since(begun)}
}

// sendOnce sends the request on a channel of its own.
func sendOnce(addr string, q *callerRequest) callerAnswer {
	c, err := openChannel(addr)
	if err != nil {
		return callerAnswer{err: err}
	}
	defer c.Close()
	return c.send(q)
}

// String returns what a caller sees, for the record.
func (a callerAnswer) String() string {
	switch {
	case a.status == 0:
		return fmt.Sprintf("no answer: %v", a.err)
	case a.err != nil:
		return fmt.Sprintf("%d, broken off after %d bytes: %v", a.status, len(a.body), a.err)
	}
	seal := a.header.Get("X-Boragewick-Response-Seal")
	if seal == "" {
		seal = "none"
	}
	return fmt.Sprintf("%d, %d bytes, seal %s, after %d ms", a.status, len(a.body), seal, a.took.Milliseconds())
}

// isRefusal reports whether the answer promises that the request has not run.
func (a callerAnswer) isRefusal() bool {
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
