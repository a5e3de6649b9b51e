package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

const host = "soak.example"

// route is a kind of request.
type route struct {
	prefix, kind, pool string
	timeout            time.Duration
	attempts           int
	resumable          bool
	repeatable         bool
}

var routes = []*route{
	{prefix: "/chat/", kind: "streaming", pool: modelPool, timeout: 4 * time.Second, attempts: 3, resumable: true, repeatable: true},
	{prefix: "/tag/", kind: "streaming", pool: modelPool, timeout: 3 * time.Second, attempts: 2},
	{prefix: "/post/", kind: "unsafe", pool: deskPool, timeout: time.Second, attempts: 2},
	{prefix: "/read/", kind: "safe", pool: deskPool, timeout: time.Second, attempts: 3, repeatable: true},
}

// tenant is a workspace; its rate is in tokens a second, and zero is none.
type tenant struct {
	name string
	rate float64
}

// walled shares no part of a prompt with others.
const walled = "walled"

var tenants = []tenant{{"open", 0}, {"small", 1500}, {walled, 0}}

const (
	promptTokens = 2*partSize + 100
	outputTokens = 20
	plainTokens  = 50
	// lateAfter is how long past its timeout a request may stay unanswered.
	lateAfter = 500 * time.Millisecond
	// leavesOnce is the reciprocal of the share of callers that leave early.
	leavesOnce = 20
)

// errBroken is the end of a connection within an answer.
var errBroken = errors.New("broken off")

// caller sends requests one after the other on connections that it keeps until
// they end.
type caller struct {
	*fleet
	rng    *rand.Rand
	number int
	sent   int
	conn   net.Conn
	r      *bufio.Reader
	router int
}

// run sends requests until ctx is done.
func (c *caller) run(ctx context.Context) {
	defer c.hangUp()
	for ctx.Err() == nil {
		if c.conn == nil && !c.dial() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		route := routes[c.rng.IntN(len(routes))]
		c.ask(route, tenants[c.rng.IntN(len(tenants))])
		time.Sleep(time.Duration(c.rng.IntN(40)) * time.Millisecond)
	}
}

func (c *caller) dial() bool {
	c.router = c.rng.IntN(c.size.controls + c.size.routers)
	conn, err := net.DialTimeout("tcp4", netip.AddrPortFrom(c.local(c.router), callerPort).String(), 300*time.Millisecond)
	if err != nil {
		return false
	}
	c.conn, c.r = conn, bufio.NewReader(conn)
	return true
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// ask sends one request and judges its answer.
func (c *caller) ask(route *route, t tenant) {
	c.sent++
	a := &ask{id: fmt.Sprintf("r%d-%d", c.number, c.sent), route: route, tenant: t.name, tokens: plainTokens}
	a.path = fmt.Sprintf("%s%d?q=%s", route.prefix, c.rng.IntN(9), a.id)
	a.body = strings.Repeat(a.id, 1+c.rng.IntN(200))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Boragewick-Request-Id: %s\r\nAuthorization: Token key-%s\r\n"+
		"X-Boragewick-Deadline-Ms: %d\r\nX-Boragewick-Tenant: other\r\nX-Boragewick-Cache-Salt: other\r\n",
		a.path, host, a.id, t.name, route.timeout.Milliseconds())
	if route.pool == modelPool {
		a.tokens = promptTokens + outputTokens
		head += fmt.Sprintf("X-Boragewick-Model: %s\r\nX-Boragewick-Token-Count: %d,%d\r\nX-Boragewick-Prompt-Prefix: a%d:%d,b%d:%d,%s:100\r\n",
			modelName, promptTokens, outputTokens, c.rng.IntN(3), partSize, c.rng.IntN(40), partSize, a.id)
	}
	if c.rng.IntN(2) == 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
	} else {
		half := len(a.body) / 2
		head += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
			half, a.body[:half], len(a.body)-half, a.body[half:])
	}
	c.record(a)
	until := a.sent.Add(route.timeout + lateAfter)
	leaves := c.rng.IntN(leavesOnce) == 0
	if leaves {
		until = a.sent.Add(time.Duration(5+c.rng.IntN(150)) * time.Millisecond)
	}
	_ = c.conn.SetDeadline(until)
	_, err := io.WriteString(c.conn, head)
	if err == nil {
		err = c.receive(a)
	}
	switch {
	case err == nil:
		return
	case leaves && errors.Is(err, errTimeout):
		c.count("left")
	case errors.Is(err, errTimeout):
		c.unanswered(a)
	default:
		c.brokenOff(a)
	}
	c.hangUp()
}

// crossing is how long after a request was sent its connection may end without
// the router having read it.
const crossing = 200 * time.Millisecond

// brokenOff records a connection that ends without a whole answer, which planned
// work doesn't excuse.
func (c *caller) brokenOff(a *ask) {
	c.count("broken")
	if !c.quietSince(a.sent.Add(-contact)) {
		return
	}
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	if len(a.arrivals) > 0 || time.Since(a.sent) > crossing {
		c.wrongLocked("LOST", "%s to router %d is broken off after %s and %d arrivals, and no fault is in force",
			a.id, c.router, time.Since(a.sent), len(a.arrivals))
	}
}

var errTimeout = errors.New("no answer in time")

// unanswered records a request without an answer half a second after its timeout,
// which only a trouble excuses.
func (c *caller) unanswered(a *ask) {
	c.count("unanswered")
	if c.calmSince(a.sent.Add(-contact)) {
		c.wrong("CONFIG", "%s to router %d has no whole answer %s after its timeout, and nothing is the matter", a.id, c.router, lateAfter)
	}
}

// receive reads the answer.
func (c *caller) receive(a *ask) error {
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
	if err != nil {
		return broken(err)
	}
	defer resp.Body.Close()
	if resp.Close {
		defer c.hangUp()
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		err = broken(err)
	}
	if id := resp.Header.Get("X-Boragewick-Request-Id"); id != "" && id != a.id {
		c.wrong("MIXED", "%s gets the answer of %s", a.id, id)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		c.check(a, resp, string(body), err == nil)
		if err == nil {
			c.count("served")
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.refuse(a, resp.StatusCode)
		c.count(fmt.Sprint("status ", resp.StatusCode))
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
		c.count(fmt.Sprint("status ", resp.StatusCode))
	default:
		c.wrong("DENIED", "%s on %s of %s to router %d is answered %d %s", a.id, a.route.prefix, a.tenant, c.router, resp.StatusCode, body)
	}
	return err
}

// check compares a success with what endpoints have made.
func (c *caller) check(a *ask, resp *http.Response, body string, whole bool) {
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	seal := resp.Header.Get("X-Boragewick-Response-Seal")
	var made *run
	for _, r := range a.runs {
		if r.seal == seal {
			made = r
		}
	}
	if made == nil {
		c.wrongLocked("MIXED", "%s gets the seal %q, which no endpoint gave it", a.id, seal)
		return
	}
	if a.route.pool == deskPool {
		if whole && body != made.body {
			c.wrongLocked("MIXED", "%s gets %d bytes as a whole answer of %d", a.id, len(body), len(made.body))
		}
		return
	}
	k := 0
	for event := range strings.SplitSeq(body, "\n\n") {
		if event == "" {
			continue
		}
		k++
		if lines := strings.Split(event, "\n"); strings.HasPrefix(lines[0], "x-boragewick-weight-versions:") {
			event = strings.Join(lines[1:], "\n")
		}
		if event != "id: "+strconv.Itoa(k)+"\ndata: "+a.id+"."+strconv.Itoa(k) {
			if whole || len(event) > 0 && k <= strings.Count(body, "\n\n") {
				c.wrongLocked("ORDER", "%s gets %q as event %d", a.id, event, k)
			}
			return
		}
	}
	if whole && k != events {
		c.wrongLocked("ORDER", "%s ends as complete after %d events of %d", a.id, k, events)
	}
}

// broken tells apart a connection that ends and an answer that doesn't come.
func broken(err error) error {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return errTimeout
	}
	return errBroken
}
