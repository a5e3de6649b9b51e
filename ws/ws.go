// Package ws carries messages between two processes over WebSocket (RFC 6455),
// with mutual TLS unless both are on one instance.
package ws

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/boragewick/boragewick"
)

const (
	// Path is the URL path of links.
	Path = "/link"
	// maxMessageBytes is the largest WebSocket message; it holds a batch of
	// frames or one larger frame.
	maxMessageBytes = 64<<20 + 1<<10
	// readBytes is the size of the buffers that are used again.
	readBytes = 128 << 10
	// handshakeBytes is the size of the buffers of a dialled connection's
	// HTTP handshake.
	handshakeBytes = 512
)

// Transport makes WebSocket connections. The zero Transport reaches loopback
// addresses only.
type Transport struct {
	// TLS returns the configuration for a dial; nil means no encryption.
	TLS func() (*tls.Config, error)
	// InsecureOK allows connections without encryption beyond the loopback.
	InsecureOK bool
	// From is the local address of dialled connections; invalid leaves it to
	// the system.
	From netip.Addr
}

// Dial connects to the server at the address.
func (t *Transport) Dial(ctx context.Context, addr netip.AddrPort) (boragewick.Conn, error) {
	if err := t.Check(addr); err != nil {
		return nil, err
	}
	client := &http.Transport{
		DisableKeepAlives: true,
		ReadBufferSize:    handshakeBytes,
		WriteBufferSize:   handshakeBytes,
	}
	if t.From.IsValid() {
		d := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(t.From, 0))}
		client.DialContext = d.DialContext
	}
	scheme := "ws"
	if t.TLS != nil {
		config, err := t.TLS()
		if err != nil {
			return nil, err
		}
		client.TLSClientConfig = config
		scheme = "wss"
	}
	var proved string
	c, resp, err := websocket.Dial(ctx, scheme+"://"+addr.String()+Path, &websocket.DialOptions{HTTPClient: &http.Client{Transport: client}}) //nolint:bodyclose // the connection owns it
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", addr), boragewick.ErrLinkLost)
	}
	if resp != nil && resp.TLS != nil {
		proved = nameOf(resp.TLS)
	}
	return newConn(c, proved), nil
}

// Check tells whether the settings allow a connection with the address.
// The error is ErrBadSettings.
func (t *Transport) Check(addr netip.AddrPort) error {
	if t.TLS != nil || t.InsecureOK || addr.Addr().IsLoopback() {
		return nil
	}
	return errors.Wrapf(boragewick.ErrBadSettings, "no certificates are set for links with %s", addr)
}

// Accept takes in a connection. It answers the request when it fails.
func (t *Transport) Accept(w http.ResponseWriter, r *http.Request) (boragewick.Conn, error) {
	var proved string
	if r.TLS != nil {
		proved = nameOf(r.TLS)
	}
	if err := t.admit(r, proved); err != nil {
		http.Error(w, err.Error(), http.StatusForbidden)
		return nil, err
	}
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "accept"), boragewick.ErrProtocol)
	}
	return newConn(c, proved), nil
}

// admit checks that the remote has a certificate or needs none.
func (t *Transport) admit(r *http.Request, proved string) error {
	if proved != "" {
		return nil
	}
	if r.TLS != nil {
		return errors.Wrap(boragewick.ErrUnauthenticated, "a link needs a client certificate")
	}
	addr, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "remote address"), boragewick.ErrProtocol)
	}
	return (&Transport{InsecureOK: t.InsecureOK}).Check(addr)
}

// nameOf returns the common name of the remote's verified certificate.
func nameOf(s *tls.ConnectionState) string {
	if len(s.VerifiedChains) == 0 || len(s.PeerCertificates) == 0 {
		return ""
	}
	return s.PeerCertificates[0].Subject.CommonName
}

// conn is one WebSocket connection.
type conn struct {
	ws     *websocket.Conn
	proved string
	buf    *[]byte
}

// readBuffers holds the buffers that no connection uses.
var readBuffers = sync.Pool{New: func() any {
	b := make([]byte, readBytes)
	return &b
}}

// newConn returns the connection with its bounds set.
func newConn(c *websocket.Conn, proved string) *conn {
	c.SetReadLimit(maxMessageBytes)
	return &conn{ws: c, proved: proved}
}

// ReadMessage returns the next binary message. The connection has no buffer
// while it waits.
func (c *conn) ReadMessage() ([]byte, error) {
	if c.buf != nil {
		readBuffers.Put(c.buf)
		c.buf = nil
	}
	kind, r, err := c.ws.Reader(context.Background())
	if err != nil {
		return nil, err
	}
	if kind != websocket.MessageBinary {
		return nil, errors.Wrap(boragewick.ErrProtocol, "text message")
	}
	c.buf = readBuffers.Get().(*[]byte)
	return readAll(r, (*c.buf)[:0])
}

// readAll appends all of r to b.
func readAll(r io.Reader, b []byte) ([]byte, error) {
	for {
		if len(b) == cap(b) {
			b = append(b, 0)[:len(b)]
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
}

// WriteMessage sends a binary message.
func (c *conn) WriteMessage(b []byte) error {
	return c.ws.Write(context.Background(), websocket.MessageBinary, b)
}

// RemoteName returns the common name of the remote's certificate.
func (c *conn) RemoteName() string { return c.proved }

// Close closes the connection without waiting for the remote.
func (c *conn) Close() error { return c.ws.CloseNow() }
