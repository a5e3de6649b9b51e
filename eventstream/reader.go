// Package eventstream reads a stream of server-sent events in batches of
// complete events.
package eventstream

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	// readBytes is the buffer size of one read.
	readBytes = 4 << 10
	// maxEventBytes is the maximum size of an event.
	maxEventBytes = 1 << 20
)

// Batch is a sequence of complete events, byte for byte as received.
type Batch struct {
	Data []byte
	// LastID is the ID of the last event that has one, or empty.
	LastID string
	Events int
}

// Reader reads events from R.
type Reader struct {
	R   io.Reader
	buf []byte
	// off is the length of the batch returned by the last call of Next.
	off int
	err error
}

// Next returns the complete events received so far, at least one. The batch's
// Data is valid until the next call. Next returns io.EOF after the last complete
// event, and ErrWrongAnswer and io.ErrUnexpectedEOF if the stream ends within an event.
func (r *Reader) Next() (Batch, error) {
	r.buf = append(r.buf[:0], r.buf[r.off:]...)
	r.off = 0
	for {
		if b := splitEvents(r.buf); len(b.Data) > 0 {
			r.off = len(b.Data)
			return b, nil
		}
		if r.err != nil {
			return Batch{}, r.endError()
		}
		if len(r.buf) > maxEventBytes {
			return Batch{}, errors.Wrapf(boragewick.ErrTooLarge, "event over %d bytes", maxEventBytes)
		}
		r.fill()
	}
}

// Rest returns the start of the event within which the stream has ended. It is valid once Next has
// returned an error.
func (r *Reader) Rest() []byte { return r.buf[r.off:] }

// Buffered returns the size of the buffer for the events.
func (r *Reader) Buffered() int { return cap(r.buf) }

// fill appends the data of one read to the buffer.
func (r *Reader) fill() {
	n := len(r.buf)
	r.buf = append(r.buf, make([]byte, readBytes)...)
	var got int
	got, r.err = r.R.Read(r.buf[n:])
	r.buf = r.buf[:n+got]
}

// endError returns the error for the end of the stream.
func (r *Reader) endError() error {
	if errors.Is(r.err, io.EOF) && len(r.buf) > 0 {
		err := errors.Wrapf(boragewick.ErrWrongAnswer, "stream ends within an event after %d bytes of it", len(r.buf))
		return errors.Mark(err, io.ErrUnexpectedEOF)
	}
	return r.err
}

// splitEvents returns the complete events at the start of b.
func splitEvents(b []byte) Batch {
	var batch Batch
	for start := 0; ; {
		n := eventEnd(b[start:])
		if n < 0 {
			return batch
		}
		if id, ok := eventID(b[start : start+n]); ok {
			batch.LastID = id
		}
		start += n
		batch.Events++
		batch.Data = b[:start]
	}
}

// eventEnd returns the length of the first event, including its blank line, or -1
// if the event is incomplete.
func eventEnd(b []byte) int {
	for at := 0; ; {
		n := bytes.IndexByte(b[at:], '\n')
		if n < 0 {
			return -1
		}
		line := bytes.TrimSuffix(b[at:at+n], []byte("\r"))
		at += n + 1
		if len(line) == 0 {
			return at
		}
	}
}

// eventID returns the value of the first id field of the event, if there is one.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if string(name) == "id" {
			return string(bytes.TrimPrefix(value, []byte(" "))), true
		}
	}
	return "", false
}
