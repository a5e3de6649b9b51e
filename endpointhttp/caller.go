// Package endpointhttp makes HTTP calls to the endpoint beside an agent. It
// knows which failures prove that a call never reached the endpoint.
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
)

const (
	// readBufferBytes is the largest part of an answer that one read takes.
	readBufferBytes  = 32 << 10
	defaultFirstByte = 60 * time.Second
	defaultBetween   = 10 * time.Second
	dialTimeout      = time.Second
)

// Caller calls one endpoint. Endpoint must be set; the other fields are
// options whose zero values have defaults.
type Caller struct {
	Endpoint netip.AddrPort
	// FirstByte is the longest wait for the first byte of an answer.
	FirstByte time.Duration
	// Between is the longest wait for each later part of it.
	Between time.Duration
	// Dial opens connections in place of TCP.
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
	// FirstBy is when the first byte of the body must be there; the limits of
	// the Caller hold besides.
	FirstBy time.Time
	// Between takes the place of the Caller's limit.
	Between time.Duration
}

// Do sends the call on a connection of its own, so that neither a silent
// connection nor an answer to an earlier call is in its way. The answer's body must be closed. Errors are marked by
// NotRun when no connection took the call; otherwise they wrap
// ErrEndpointFailed, ErrTimeout or ErrCanceled.
func (c *Caller) Do(ctx context.Context, call *Call) (*http.Response, error) {
	c.once.Do(c.init)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, boragewick.NotRun(errors.Wrap(boragewick.ErrTimeout, "before the call"))
	}
	if ctx.Err() != nil {
		return nil, boragewick.NotRun(errors.Wrap(boragewick.ErrCanceled, "before the call"))
	}
	firstBy := time.Now().Add(cmp.Or(c.FirstByte, defaultFirstByte))
	if !call.FirstBy.IsZero() && call.FirstBy.Before(firstBy) {
		firstBy = call.FirstBy
	}
	if !time.Now().Before(firstBy) {
		return nil, boragewick.NotRun(errors.Wrap(boragewick.ErrTimeout, "before the call"))
	}
	b := &body{firstBy: firstBy, between: cmp.Or(call.Between, c.Between, defaultBetween)}
	b.ctx, b.cancel = context.WithCancelCause(ctx)
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	r, err := c.request(httptrace.WithClientTrace(b.ctx, trace), call)
	if err != nil {
		b.cancel(nil)
		return nil, boragewick.NotRun(err)
	}
	b.timer = time.AfterFunc(time.Until(firstBy), b.expire)
	w, err := c.transport.RoundTrip(r)
	b.timer.Stop()
	if err != nil {
		err = b.explain(err)
		b.cancel(nil)
		if !sent.Load() {
			err = boragewick.NotRun(err)
		}
		return nil, err
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
			return dial(ctx, network, address)
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
