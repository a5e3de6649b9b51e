// Package upstream is an HTTP/1.1 client for endpoints with a pool of persistent
// connections. It never sends a request twice.
package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/boragewick/boragewick"
)

const (
	// dialTimeout bounds the opening of a connection. Endpoints are a few
	// milliseconds away, and a lost SYN is only retransmitted after a second.
	dialTimeout = 600 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection (TCP_USER_TIMEOUT).
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveProbes configure TCP keep-alive,
	// which finds connections whose remote end has gone silent.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// maxIdleTime is how long an idle connection is kept to an endpoint that doesn't
	// state its own timeout in a Keep-Alive header.
	maxIdleTime = 4 * time.Second
	// maxStatedIdleTime is how long an idle connection is kept at most if the endpoint's
	// Keep-Alive header allows it.
	maxStatedIdleTime = 30 * time.Second
	// idleMargin is subtracted from the timeout in the endpoint's Keep-Alive header.
	idleMargin = 500 * time.Millisecond
	// maxIdleConns is the largest number of idle connections kept to one endpoint.
	maxIdleConns = 24
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 4 << 10
)

// ErrNotSent marks errors that prove that no byte of the request was sent.
var ErrNotSent = errors.New("request not sent")

// Client sends requests. The zero value works.
type Client struct {
	// LocalAddr is the local address of connections; if invalid, the system
	// chooses one.
	LocalAddr netip.Addr

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
	// dialed counts the connections that were opened.
	dialed uint64
}

// Request is one request to one endpoint.
type Request struct {
	Method string
	// URI is the path with the query as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody reports whether the request has a body, even if it is empty.
	HasBody bool
	// NewConn asks for a connection that was not used before.
	NewConn bool
}

// Response is an endpoint's response. Close ends the request and must be called.
type Response struct {
	*http.Response
	conn     *conn
	client   *Client
	stop     func() bool
	bodyRead bool
}

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	addr      netip.AddrPort
	r         *bufio.Reader
	source    *headReader
	expiresAt time.Time
	used      bool
	// writeErr is the error of writing the request, after which a response may still follow.
	writeErr error
}

// Send sends the request and returns the response as soon as its header has been
// read. When ctx is done, the connection is closed, also while the body is being
// read, and what the endpoint has not yet received of the request is never sent. After an
// error that isn't marked ErrNotSent the request may be running.
func (c *Client) Send(ctx context.Context, addr netip.AddrPort, r *Request) (*Response, error) {
	if err := r.check(); err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	co, err := c.get(ctx, addr, r.NewConn)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	stop := context.AfterFunc(ctx, co.abort)
	resp, err := co.roundTrip(r) //nolint:bodyclose // closed by Close of the returned Response
	if err != nil {
		stop()
		co.abort()
		if ctx.Err() != nil {
			err = errors.Mark(err, boragewick.ErrCanceled)
		}
		return nil, err
	}
	return &Response{Response: resp, conn: co, client: c, stop: stop}, nil
}

// Dialed returns the number of connections that were opened.
func (c *Client) Dialed() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialed
}

// Connect opens a connection to the address and closes it again. An error means that
// nothing accepts connections there.
func (c *Client) Connect(ctx context.Context, addr netip.AddrPort) error {
	co, err := c.dial(ctx, addr)
	if err != nil {
		return err
	}
	return co.Close()
}

// CloseIdle closes the idle connections to the address.
func (c *Client) CloseIdle(addr netip.AddrPort) {
	c.mu.Lock()
	list := c.idle[addr]
	delete(c.idle, addr)
	c.mu.Unlock()
	for _, co := range list {
		_ = co.Close()
	}
}

// CloseExpired closes idle connections that have expired.
func (c *Client) CloseExpired() {
	now := time.Now()
	c.mu.Lock()
	var expired []*conn
	for addr, list := range c.idle {
		kept := list[:0]
		for _, co := range list {
			if now.Before(co.expiresAt) {
				kept = append(kept, co)
			} else {
				expired = append(expired, co)
			}
		}
		if c.idle[addr] = kept; len(kept) == 0 {
			delete(c.idle, addr)
		}
	}
	c.mu.Unlock()
	for _, co := range expired {
		_ = co.Close()
	}
}

// get returns an idle connection or a new one.
func (c *Client) get(ctx context.Context, addr netip.AddrPort, fresh bool) (*conn, error) {
	for !fresh {
		co := c.pop(addr)
		if co == nil {
			break
		}
		if co.alive() {
			return co, nil
		}
		_ = co.Close()
	}
	return c.dial(ctx, addr)
}

// pop removes and returns the most recently used idle connection that has not
// expired, or nil.
func (c *Client) pop(addr netip.AddrPort) *conn {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	for len(list) > 0 {
		co := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[addr] = list
		if now.Before(co.expiresAt) {
			return co
		}
		_ = co.Close()
	}
	return nil
}

// push returns a connection to the pool, or closes it if the pool has enough for
// its endpoint.
func (c *Client) push(co *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = map[netip.AddrPort][]*conn{}
	}
	if len(c.idle[co.addr]) >= maxIdleConns {
		_ = co.Close()
		return
	}
	c.idle[co.addr] = append(c.idle[co.addr], co)
}

func (c *Client) dial(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: setUserTimeout,
	}
	if c.LocalAddr.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.LocalAddr, 0))
	}
	raw, err := d.DialContext(ctx, "tcp4", addr.String())
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "connect"), boragewick.ErrLinkLost)
	}
	c.mu.Lock()
	c.dialed++
	c.mu.Unlock()
	source := &headReader{r: raw}
	return &conn{Conn: raw, addr: addr, source: source, r: bufio.NewReaderSize(source, readBufferSize)}, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.CombineErrors(controlErr, err)
}
