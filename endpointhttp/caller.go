// Package endpointhttp makes HTTP calls to the endpoint of an agent. It marks
// failures that prove that a call never reached the endpoint.
package endpointhttp

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/resetconn"
)

const (
	// readBufferBytes is the maximum size of one read of an answer.
	readBufferBytes         = 32 << 10
	defaultFirstByteTimeout = 60 * time.Second
	defaultReadTimeout      = 10 * time.Second
	dialTimeout             = time.Second
	// maxStatus is the largest status code of HTTP (RFC 9110, section 15).
	maxStatus = 599
)

// Caller calls one endpoint. Endpoint must be set; the other fields are
// options whose zero values have defaults.
type Caller struct {
	Endpoint netip.AddrPort
	// FirstByteTimeout is the time limit for the first byte of an answer.
	FirstByteTimeout time.Duration
	// ReadTimeout is the time limit for each later read of the answer.
	ReadTimeout time.Duration
	// Dial replaces the TCP dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	once      sync.Once
	transport *http.Transport
}

// Call is one request to an endpoint.
type Call struct {
	Method string
	// Path includes the query.
	Path   string
	Header http.Header
	Body   []byte
	// FirstByteDeadline is the deadline for the first byte of the body; the
	// limits of the Caller apply as well.
	FirstByteDeadline time.Time
	// ReadTimeout overrides the Caller's limit if it is set.
	ReadTimeout time.Duration
}

// Do sends the call on a new connection, so that neither a stalled connection
// nor the answer to an earlier call interferes. The body of the answer must be
// closed. Errors are marked by NotRun if the call never got a connection;
// otherwise they wrap ErrEndpointFailed, ErrTimeout or ErrCanceled.
func (c *Caller) Do(ctx context.Context, call *Call) (*http.Response, error) {
	c.once.Do(c.init)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, boragewick.NotRun(errors.Wrap(boragewick.ErrTimeout, "before the call"))
	}
	if ctx.Err() != nil {
		return nil, boragewick.NotRun(errors.Wrap(boragewick.ErrCanceled, "before the call"))
	}
	firstByteDeadline := time.Now().Add(cmp.Or(c.FirstByteTimeout, defaultFirstByteTimeout))
	if !call.FirstByteDeadline.IsZero() && call.FirstByteDeadline.Before(firstByteDeadline) {
		firstByteDeadline = call.FirstByteDeadline
	}
	if !time.Now().Before(firstByteDeadline) {
		return nil, boragewick.NotRun(errors.Wrap(boragewick.ErrTimeout, "before the call"))
	}
	b := &body{firstByteDeadline: firstByteDeadline, readTimeout: cmp.Or(call.ReadTimeout, c.ReadTimeout, defaultReadTimeout)}
	b.ctx, b.cancel = context.WithCancelCause(ctx)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r, err := c.request(httptrace.WithClientTrace(b.ctx, trace), call)
	if err != nil {
		b.cancel(nil)
		return nil, boragewick.NotRun(err)
	}
	b.timer = time.AfterFunc(time.Until(firstByteDeadline), b.cancelOnTimeout)
	w, err := c.transport.RoundTrip(r)
	b.timer.Stop()
	if err != nil {
		err = b.wrapError(err)
		b.cancel(nil)
		if !connected.Load() {
			err = boragewick.NotRun(err)
		}
		return nil, err
	}
	if w.StatusCode < http.StatusContinue || w.StatusCode > maxStatus {
		_ = w.Body.Close()
		b.cancel(nil)
		return nil, errors.Wrapf(boragewick.ErrEndpointFailed, "status %.32q", w.Status)
	}
	b.rc = w.Body
	w.Body = b
	return w, nil
}

func (c *Caller) init() {
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return resetconn.Conn{Conn: conn}, nil
		},
		DisableCompression: true,
		DisableKeepAlives:  true,
		ReadBufferSize:     readBufferBytes,
	}
}

func (c *Caller) request(ctx context.Context, call *Call) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, call.Method, "http://"+c.Endpoint.String()+call.Path, nil)
	if err != nil {
		return nil, errors.Wrapf(boragewick.ErrMalformed, "%v", err)
	}
	if call.Header != nil {
		r.Header = call.Header
	}
	if len(call.Body) > 0 {
		r.Body = io.NopCloser(newReader(call.Body))
		r.ContentLength = int64(len(call.Body))
	}
	return r, nil
}
