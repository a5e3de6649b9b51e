package endpointhttp

import (
	"net/http"

	"github.com/boragewick/boragewick"
)

// Answer numbers the chunks of one request's answer. Its zero value needs
// Request and Emit.
type Answer struct {
	Request boragewick.RequestID
	Emit    func(boragewick.Chunk) error

	number uint64
}

// Begun reports whether a chunk was emitted.
func (a *Answer) Begun() bool { return a.number > 0 }

// Head emits the head of the answer unless it was emitted before.
func (a *Answer) Head(w *http.Response) error {
	if a.Begun() {
		return nil
	}
	return a.emit(boragewick.Chunk{Head: &boragewick.Head{
		Status: w.StatusCode,
		Header: AnswerHeader(w.Header),
	}})
}

// Data emits a part of the body.
func (a *Answer) Data(b []byte) error {
	return a.emit(boragewick.Chunk{Data: b})
}

// End emits the last part of the body and the end.
func (a *Answer) End(b []byte, end boragewick.End) error {
	return a.emit(boragewick.Chunk{Data: b, End: &end})
}

func (a *Answer) emit(c boragewick.Chunk) error {
	a.number++
	c.Request = a.Request
	c.Number = a.number
	return a.Emit(c)
}
