package upstream

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	// maxInterim bounds the interim (1xx) responses to one request.
	maxInterim = 8
	// maxStatus is the largest status code of HTTP (RFC 9110, section 15).
	maxStatus = 599
	// maxErrorBytes bounds the text of an error about a malformed response.
	maxErrorBytes = 300
)

// alive reports whether an idle connection is still open and has no unread bytes.
// After unsolicited bytes it must not be used.
func (co *conn) alive() bool {
	if co.r.Buffered() > 0 {
		return false
	}
	sc, ok := co.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// abort closes the connection and discards the bytes that were not delivered. After a
// plain Close the kernel would go on sending them, so that a request could still reach
// the endpoint long after it was given up.
func (co *conn) abort() {
	if tcp, ok := co.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = co.Close()
}

// roundTrip writes the request and reads the response header.
func (co *conn) roundTrip(r *Request) (*http.Response, error) {
	watch := co.watchWindow(len(r.Body))
	defer watch.stop()
	n, err := r.writeTo(co.Conn)
	if err != nil && n == 0 {
		return nil, errors.Mark(errors.Mark(err, ErrNotSent), boragewick.ErrLinkLost)
	}
	// An endpoint may refuse a request before it has read all of it, so its
	// response is valid even if the rest of the request can't be written.
	writeErr := err
	co.writeErr = err
	co.source.begin()
	defer co.source.end()
	start := 0
	for range maxInterim {
		resp, err := http.ReadResponse(co.r, &http.Request{Method: r.Method})
		if err != nil {
			return nil, errors.Mark(errors.Wrap(errors.CombineErrors(shorten(err), writeErr), "read response"), boragewick.ErrLinkLost)
		}
		end := len(co.source.read) - co.r.Buffered()
		if ambiguousFraming(co.source.read[start:end], resp) {
			return nil, errors.Wrap(boragewick.ErrProtocol, "response with ambiguous framing")
		}
		start = end
		if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus {
			return nil, errors.Wrapf(boragewick.ErrProtocol, "status %.32q", resp.Status)
		}
		if resp.StatusCode >= http.StatusOK {
			resp.Close = resp.Close || writeErr != nil
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, errors.Wrap(boragewick.ErrProtocol, "interim responses without a final one")
}

// shorten returns the error, or one with the start of its text if that is long. The
// errors of net/http quote what they can't parse.
func shorten(err error) error {
	if text := err.Error(); len(text) > maxErrorBytes {
		return errors.Newf("%.*s", maxErrorBytes, text)
	}
	return err
}

// check returns ErrMalformed if a part of the head would end its line or the head.
func (r *Request) check() error {
	if isOdd(r.Method, true) || isOdd(r.URI, true) || isOdd(r.Host, true) {
		return errors.Wrapf(boragewick.ErrMalformed, "request line %.32q %.64q of host %.64q", r.Method, r.URI, r.Host)
	}
	for name, values := range r.Header {
		for _, v := range values {
			if isOdd(name, true) || isOdd(v, false) {
				return errors.Wrapf(boragewick.ErrMalformed, "header %.64q: %.64q", name, v)
			}
		}
	}
	return nil
}

// isOdd reports whether the text holds control characters or, if they aren't allowed,
// spaces.
func isOdd(s string, noSpace bool) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f || noSpace && (c == ' ' || c == '\t') {
			return true
		}
	}
	return false
}

// writeTo writes the request. A large body is not copied for that.
func (r *Request) writeTo(c net.Conn) (int64, error) {
	if len(r.Body) < minWatchedBody {
		n, err := c.Write(append(r.encodeHead(), r.Body...))
		return int64(n), err
	}
	message := net.Buffers{r.encodeHead(), r.Body}
	return message.WriteTo(c)
}

// encodeHead returns all of the request but its body in wire format.
func (r *Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Read reads the body. An error other than io.EOF means that the body is
// incomplete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if r.conn.writeErr != nil && r.CloseDelimited() {
		// The kernel tells of a reset once, and the write was told: the reader sees the end.
		return n, errors.Mark(errors.Wrap(r.conn.writeErr, "read response"), boragewick.ErrLinkLost)
	}
	r.bodyRead = true
	return n, err
}

// CloseDelimited reports whether the response has neither a length nor chunks, so
// that its body ends with the connection.
func (r *Response) CloseDelimited() bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// Close ends the request. The connection is kept for reuse if the whole body has
// been read and the endpoint keeps it open.
func (r *Response) Close() error {
	if !r.stop() || !r.bodyRead {
		r.conn.abort()
		return nil
	}
	if r.Response.Close || r.conn.r.Buffered() > 0 {
		return r.conn.Close()
	}
	keep := maxIdleTime
	if t, ok := keepAliveTimeout(r.Header); ok {
		keep = min(maxStatedIdleTime, t-idleMargin)
	}
	if keep <= 0 {
		return r.conn.Close()
	}
	r.conn.used = true
	r.conn.expiresAt = time.Now().Add(keep)
	r.client.push(r.conn)
	return nil
}

// Discard ends the request and closes its connection, so that the endpoint notices
// that the request is abandoned.
func (r *Response) Discard() {
	r.stop()
	r.conn.abort()
}

// keepAliveTimeout returns the timeout parameter of the Keep-Alive header.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.Trim(value, `" `)); err == nil {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}
