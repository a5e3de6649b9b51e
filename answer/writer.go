// Package answer numbers and emits the chunks of an endpoint's answer.
package answer

import (
	"net/http"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/endpointhttp"
)

// Writer emits the chunks of one request's answer in order. Request and Emit
// must be set.
type Writer struct {
	Request boragewick.RequestID
	Emit    func(boragewick.Chunk) error

	number uint64
}

// Started reports whether a chunk has been emitted.
func (w *Writer) Started() bool { return w.number > 0 }

// Head emits the head of the answer unless a chunk has been emitted before.
func (w *Writer) Head(r *http.Response) error {
	if w.Started() {
		return nil
	}
	return w.emit(boragewick.Chunk{Head: &boragewick.Head{
		Status: r.StatusCode,
		Header: endpointhttp.AnswerHeader(r.Header),
	}})
}

// Data emits a part of the body.
func (w *Writer) Data(b []byte) error {
	return w.emit(boragewick.Chunk{Data: b})
}

// End emits the last chunk, with the last part of the body and the end of the
// answer.
func (w *Writer) End(b []byte, end boragewick.End) error {
	return w.emit(boragewick.Chunk{Data: b, End: &end})
}

func (w *Writer) emit(c boragewick.Chunk) error {
	w.number++
	c.Request = w.Request
	c.Number = w.number
	return w.Emit(c)
}
