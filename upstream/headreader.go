package upstream

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// maxHeadBytes bounds what is read of a connection until the head of a response is
// complete. A faulty endpoint may send a head without end.
const maxHeadBytes = 64 << 10

// headReader bounds the bytes that may be read between begin and end.
type headReader struct {
	r       io.Reader
	limited bool
	left    int
}

// begin allows maxHeadBytes to be read until end.
func (h *headReader) begin() { h.limited, h.left = true, maxHeadBytes }

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
	return n, err
}
