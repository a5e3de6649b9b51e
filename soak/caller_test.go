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

const routeHost = "soak.example"

// route is a route of the published configurations.
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
	{prefix: "/post/", kind: "unsafe", pool: plainPool, timeout: time.Second, attempts: 2},
	{prefix: "/read/", kind: "safe", pool: plainPool, timeout: time.Second, attempts: 3, repeatable: true},
}

// tenant is a workspace. Its rate is in tokens per second; zero means no limit.
type tenant struct {
	name string
	rate float64
}

// isolatedTenant is a workspace that shares no cached prompt parts with others.
const isolatedTenant = "walled"

var tenants = []tenant{{"open", 0}, {"small", 1500}, {isolatedTenant, 0}}

// unresumableRoute has streams of which only a copy of their KV cache can go on.
var unresumableRoute = routes[1]

const (
	promptTokens = 2*partTokens + 100
	outputTokens = 20
	plainTokens  = 50
	// answerSlack is how long after its timeout a request may remain unanswered.
	answerSlack = 500 * time.Millisecond
	// abandonOneIn is the reciprocal of the share of requests whose caller
	// disconnects early.
	abandonOneIn = 20
)

// errBroken means that the connection ended before the answer was complete.
var errBroken = errors.New("connection ended before the answer was complete")

// caller sends requests one after the other and reuses its connection until that
// ends.
type caller struct {
	*fleet
	rng    *rand.Rand
	number int
	sent   int
	conn   net.Conn
	r      *bufio.Reader
	router int
	ctx    context.Context
	pace   pace
}

// run sends requests until ctx is done.
func (c *caller) run(ctx context.Context) {
	defer c.closeConn()
	c.ctx = ctx
	for ctx.Err() == nil {
		if c.conn == nil && !c.dial() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		route := routes[c.rng.IntN(len(routes))]
		if c.weightsChange() && c.rng.IntN(2) == 0 {
			route = unresumableRoute
		}
		c.sendRequest(route, tenants[c.rng.IntN(len(tenants))])
		time.Sleep(time.Duration(c.rng.IntN(40)) * time.Millisecond)
	}
}

func (c *caller) dial() bool {
	c.router = c.rng.IntN(c.size.controls + c.size.routers)
	conn, err := c.pace.dialer().Dial("tcp4", netip.AddrPortFrom(c.local(c.router), callerPort).String())
	if err != nil {
		return false
	}
	c.conn, c.r = conn, bufio.NewReader(conn)
	return true
}

func (c *caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// sendRequest sends one request and checks its answer. A stream that can go on is taken up.
func (c *caller) sendRequest(route *route, t tenant) {
	c.sent++
	req := &request{id: fmt.Sprintf("r%d-%d", c.number, c.sent), route: route, tenant: t.name, tokens: plainTokens, router: c.router, limited: t.rate > 0}
	req.path = fmt.Sprintf("%s%d?q=%s", route.prefix, c.rng.IntN(9), req.id)
	req.body = strings.Repeat(req.id, 1+c.rng.IntN(200))
	if route.pool == modelPool {
		output := outputTokens
		if c.weightsChange() && c.rng.IntN(2) == 0 {
			output = longOutput
		}
		req.tokens = promptTokens + output
		shared := []string{fmt.Sprintf("a%d", c.rng.IntN(3)), fmt.Sprintf("b%d", c.rng.IntN(40))}
		place := c.rng.IntN(len(shared))
		if req.crashPart = c.randomCrashPart(c.rng); req.crashPart != nil {
			shared[place] = req.crashPart.id
		}
		req.prompt = fmt.Sprintf("X-Boragewick-Model: %s\r\nX-Boragewick-Token-Count: %d,%d\r\nX-Boragewick-Prompt-Prefix: %s:%d,%s:%d,%s:100\r\n",
			modelName, promptTokens, output, shared[0], partTokens, shared[1], partTokens, req.id)
	}
	req.abandoned = c.rng.IntN(abandonOneIn) == 0
	c.setPace(req)
	c.try(req)
	c.recordNewStream(req)
	for i := 0; i < maxTakenUp && req != nil && mayTakeUp(req) && c.ctx.Err() == nil; i++ {
		req = c.takeUp(req)
	}
}

// try sends the request and checks its answer.
func (c *caller) try(req *request) {
	route := req.route
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Boragewick-Request-Id: %s\r\nAuthorization: Token key-%s\r\n"+
		"X-Boragewick-Deadline-Ms: %d\r\nX-Boragewick-Tenant: other\r\nX-Boragewick-Cache-Salt: other\r\n",
		req.path, routeHost, req.id, req.tenant, route.timeout.Milliseconds()) + req.prompt
	if req.resumes != "" {
		head += fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", req.from, req.resumes)
	}
	if c.rng.IntN(2) == 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(req.body), req.body)
	} else {
		half := len(req.body) / 2
		head += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
			half, req.body[:half], len(req.body)-half, req.body[half:])
	}
	c.recordSent(req)
	deadline := req.sent.Add(route.timeout + answerSlack)
	if req.abandoned {
		deadline = req.sent.Add(time.Duration(5+c.rng.IntN(150)) * time.Millisecond)
	}
	_ = c.conn.SetDeadline(deadline)
	_, err := io.WriteString(c.conn, head)
	if err == nil {
		err = c.receive(req)
	}
	switch {
	case err == nil:
		return
	case req.abandoned && errors.Is(err, errTimeout):
		c.count("left")
	case req.unread:
		c.count("left")
		c.count("unread streams that broke off")
	case errors.Is(err, errTimeout):
		c.recordUnanswered(req)
	default:
		c.recordBroken(req)
	}
	c.closeConn()
}

// unreadWindow is how long after a request was sent its connection may end
// without the router having read the request.
const unreadWindow = 200 * time.Millisecond

// recordBroken records a connection that ended before the answer was complete,
// which a planned change does not excuse. A router ends answers that aren't complete at the
// timeout of their route, which breaks no promise.
func (c *caller) recordBroken(req *request) {
	c.count("broken")
	if time.Since(req.sent) >= req.route.timeout {
		c.count("broken at their timeout")
		return
	}
	if !c.noFaultSince(req.sent.Add(-contactTimeout)) {
		return
	}
	c.recorder.mu.Lock()
	defer c.recorder.mu.Unlock()
	if len(req.arrivals) > 0 || time.Since(req.sent) > unreadWindow {
		c.addViolationLocked("LOST", "%s to router %d lost its connection after %s and %d arrivals, and no fault was active",
			req.id, c.router, time.Since(req.sent), len(req.arrivals))
	}
}

var errTimeout = errors.New("no answer in time")

// recordUnanswered records a request without a complete answer answerSlack after
// its timeout, which only a fault or a planned change excuses.
func (c *caller) recordUnanswered(req *request) {
	c.count("unanswered")
	if c.undisturbedSince(req.sent.Add(-contactTimeout)) {
		c.addViolation("CONFIG", "%s to router %d has no complete answer %s after its timeout, and neither a fault nor a planned change was active", req.id, c.router, answerSlack)
	}
}

// receive reads and checks the answer.
func (c *caller) receive(req *request) error {
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
	if err != nil {
		return classifyReadError(err)
	}
	defer resp.Body.Close()
	if resp.Close {
		defer c.closeConn()
	}
	body, err := c.readAnswer(req, resp)
	if err != nil {
		err = classifyReadError(err)
	}
	if id := resp.Header.Get("X-Boragewick-Request-Id"); id != "" && id != req.id {
		c.addViolation("MIXED", "%s got the answer to %s", req.id, id)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		c.checkAnswer(req, resp, string(body), err == nil)
		if err == nil {
			c.count("served")
			c.countPaced(req)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.recordRefusal(req, resp.StatusCode)
		c.count(fmt.Sprint("status ", resp.StatusCode))
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
		c.count(fmt.Sprint("status ", resp.StatusCode))
	default:
		c.addViolation("DENIED", "%s on %s of %s to router %d was answered %d %s", req.id, req.route.prefix, req.tenant, c.router, resp.StatusCode, body)
	}
	return err
}

// checkAnswer compares a successful answer with what the endpoints sent.
func (c *caller) checkAnswer(req *request, resp *http.Response, body string, complete bool) {
	c.recorder.mu.Lock()
	defer c.recorder.mu.Unlock()
	seal := resp.Header.Get("X-Boragewick-Response-Seal")
	var producer *run
	for _, r := range req.runs {
		if r.seal == seal {
			producer = r
		}
	}
	if producer == nil {
		c.addViolationLocked("MIXED", "%s got the seal %q, which no endpoint issued for it", req.id, seal)
		return
	}
	if req.route.pool == plainPool {
		if complete && body != producer.body {
			c.addViolationLocked("MIXED", "%s got %d bytes as a complete answer of %d", req.id, len(body), len(producer.body))
		}
		return
	}
	k := req.from
	for event := range strings.SplitSeq(body, "\n\n") {
		if event == "" {
			continue
		}
		k++
		if lines := strings.Split(event, "\n"); strings.HasPrefix(lines[0], "x-boragewick-weight-versions:") {
			event = strings.Join(lines[1:], "\n")
		}
		text, rest, _ := strings.Cut(event, "@")
		software, padding, _ := strings.Cut(rest, "@")
		if whole := complete || k-req.from <= strings.Count(body, "\n\n"); len(padding) != req.padding || text != "id: "+strconv.Itoa(k)+"\ndata: "+req.id+"."+strconv.Itoa(k) || !whole {
			if whole {
				c.addViolationLocked("ORDER", "%s got %.200q (%d bytes) as event %d", req.id, event, len(event), k)
			}
			return
		}
		c.checkSoftwareLocked(req, software)
		req.events = k
	}
	if complete && k != eventsPerStream {
		c.addViolationLocked("ORDER", "%s ended as complete after %d events of %d", req.id, k, eventsPerStream)
	}
}

// classifyReadError distinguishes a timeout from a connection that ended.
func classifyReadError(err error) error {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return errTimeout
	}
	return errBroken
}
