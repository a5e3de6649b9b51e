package upstream

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// maxHeadBytes bounds what is read of a connection until the head of a response is
// complete. A faulty endpoint may send a head without end.
const maxHeadBytes = 64 << 10

// headReader bounds and records the bytes that are read between begin and end.
type headReader struct {
	r       io.Reader
	limited bool
	left    int
	read    []byte
}

// begin allows maxHeadBytes to be read until end.
func (h *headReader) begin() { h.limited, h.left, h.read = true, maxHeadBytes, h.read[:0] }

// end removes the bound.
func (h *headReader) end() { h.limited = false }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.limited {
		return h.r.Read(p)
	}
	if h.left == 0 {
		return 0, errors.Wrapf(boragewick.ErrTooLarge, "head over %d bytes", maxHeadBytes)
	}
	n, err := h.r.Read(p[:min(len(p), h.left)])
	h.left -= n
	h.read = append(h.read, p[:n]...)
	return n, err
}

// ambiguousFraming reports whether the head states the end of the body in two ways.
// net/http then follows one of them and removes the other.
func ambiguousFraming(head []byte, resp *http.Response) bool {
	if !hasField(head, "Transfer-Encoding") {
		return false
	}
	return len(resp.TransferEncoding) == 0 || hasField(head, "Content-Length")
}

// hasField reports whether the head has a field with the name.
func hasField(head []byte, name string) bool {
	for line := range bytes.Lines(head) {
		field, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(bytes.TrimRight(field, " \t"), []byte(name)) {
			return true
		}
	}
	return false
}
