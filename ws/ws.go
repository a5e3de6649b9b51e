// Package ws carries messages between two processes over WebSocket (RFC 6455)
// with mutual TLS. Unencrypted connections are allowed only with loopback
// addresses, or with any address if Transport.InsecureOK is set.
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
	"github.com/boragewick/boragewick/tcp"
)

const (
	// Path is the URL path of links.
	Path = "/link"
	// maxMessageBytes is the size limit of a WebSocket message, which holds a
	// batch of frames or one larger frame.
	maxMessageBytes = 64<<20 + 1<<10
	// readBufferBytes is the size of the pooled read buffers.
	readBufferBytes = 128 << 10
	// handshakeBufferBytes is the size of the buffers of a dialled connection's
	// HTTP handshake.
	handshakeBufferBytes = 512
)

// Transport dials and accepts WebSocket connections. The zero Transport allows
// loopback addresses only.
type Transport struct {
	// TLS returns the configuration for a dial; nil means no encryption.
	TLS func() (*tls.Config, error)
	// InsecureOK allows unencrypted connections with addresses other than
	// loopback addresses.
	InsecureOK bool
	// LocalAddr is the local address of dialled connections. If it is invalid,
	// the system chooses one.
	LocalAddr netip.Addr
}

// Dial connects to the server at the address.
func (t *Transport) Dial(ctx context.Context, addr netip.AddrPort) (boragewick.Conn, error) {
	if err := t.CheckAddr(addr); err != nil {
		return nil, err
	}
	transport := &http.Transport{
		DisableKeepAlives: true,
		ReadBufferSize:    handshakeBufferBytes,
		WriteBufferSize:   handshakeBufferBytes,
	}
	d := tcp.Dialer{LocalAddr: t.LocalAddr}
	transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) { return d.Dial(ctx, addr) }
	scheme := "ws"
	if t.TLS != nil {
		config, err := t.TLS()
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = config
		scheme = "wss"
	}
	var remoteName string
	c, resp, err := websocket.Dial(ctx, scheme+"://"+addr.String()+Path, &websocket.DialOptions{HTTPClient: &http.Client{Transport: transport}}) //nolint:bodyclose // the connection owns it
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", addr), boragewick.ErrLinkLost)
	}
	if resp != nil && resp.TLS != nil {
		remoteName = verifiedName(resp.TLS)
	}
	return newConn(c, remoteName), nil
}

// CheckAddr returns ErrBadSettings unless the settings allow a connection with
// the address.
func (t *Transport) CheckAddr(addr netip.AddrPort) error {
	if t.TLS != nil || t.InsecureOK || addr.Addr().IsLoopback() {
		return nil
	}
	return errors.Wrapf(boragewick.ErrBadSettings, "no certificates are set for links with %s", addr)
}

// Accept upgrades the request to a WebSocket connection. If it fails, it also
// answers the request.
func (t *Transport) Accept(w http.ResponseWriter, r *http.Request) (boragewick.Conn, error) {
	var remoteName string
	if r.TLS != nil {
		remoteName = verifiedName(r.TLS)
	}
	if err := t.checkRemote(r, remoteName); err != nil {
		http.Error(w, err.Error(), http.StatusForbidden)
		return nil, err
	}
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "accept"), boragewick.ErrProtocol)
	}
	return newConn(c, remoteName), nil
}

// checkRemote returns an error if the remote needs a certificate and has none.
func (t *Transport) checkRemote(r *http.Request, remoteName string) error {
	if remoteName != "" {
		return nil
	}
	if r.TLS != nil {
		return errors.Wrap(boragewick.ErrUnauthenticated, "a link needs a client certificate")
	}
	addr, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "remote address"), boragewick.ErrProtocol)
	}
	return (&Transport{InsecureOK: t.InsecureOK}).CheckAddr(addr)
}

// verifiedName returns the common name of the remote's verified certificate, or
// "".
func verifiedName(s *tls.ConnectionState) string {
	if len(s.VerifiedChains) == 0 || len(s.PeerCertificates) == 0 {
		return ""
	}
	return s.PeerCertificates[0].Subject.CommonName
}

// conn is one WebSocket connection.
type conn struct {
	ws         *websocket.Conn
	remoteName string
	buf        *[]byte
	// onProgress is called for each piece of a message; it may be nil.
	onProgress func()
}

// OnProgress implements boragewick.ProgressConn.
func (c *conn) OnProgress(f func()) { c.onProgress = f }

// readBuffers holds the read buffers that no connection uses.
var readBuffers = sync.Pool{New: func() any {
	b := make([]byte, readBufferBytes)
	return &b
}}

// newConn returns the connection with its read limit set.
func newConn(c *websocket.Conn, remoteName string) *conn {
	c.SetReadLimit(maxMessageBytes)
	return &conn{ws: c, remoteName: remoteName}
}

// ReadMessage returns the next binary message. The connection holds no
// read buffer while it waits.
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
	return c.readAll(r, (*c.buf)[:0])
}

// readAll appends all of r to b.
func (c *conn) readAll(r io.Reader, b []byte) ([]byte, error) {
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
		if c.onProgress != nil {
			c.onProgress()
		}
	}
}

// WriteMessage sends a binary message.
func (c *conn) WriteMessage(b []byte) error {
	return c.ws.Write(context.Background(), websocket.MessageBinary, b)
}

// RemoteName returns the common name of the remote's certificate.
func (c *conn) RemoteName() string { return c.remoteName }

// Close closes the connection without waiting for the remote.
func (c *conn) Close() error { return c.ws.CloseNow() }
