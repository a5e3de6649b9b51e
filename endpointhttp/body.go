package endpointhttp

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// body is an answer's body whose reads have deadlines. The time that the
// reader takes between two reads does not count.
type body struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	rc      io.ReadCloser
	firstBy time.Time
	between time.Duration
	begun   bool
}

// Read reads from the body. It returns io.EOF only at the end of a whole body.
func (b *body) Read(p []byte) (int, error) {
	limit := b.between
	if !b.begun {
		limit = time.Until(b.firstBy)
	}
	b.timer.Reset(limit)
	n, err := b.rc.Read(p)
	b.timer.Stop()
	b.begun = b.begun || n > 0
	if err != nil && err != io.EOF { //nolint:errorlint // an io.Reader returns io.EOF itself
		err = b.explain(err)
	}
	return n, err
}

// Close ends the call. A body that was not read to its end takes its
// connection with it.
func (b *body) Close() error {
	b.timer.Stop()
	b.cancel(nil)
	return b.rc.Close()
}

func (b *body) expire() { b.cancel(boragewick.ErrTimeout) }

// explain tells why the call failed.
func (b *body) explain(err error) error {
	switch {
	case errors.Is(context.Cause(b.ctx), boragewick.ErrTimeout):
		return errors.Wrapf(boragewick.ErrTimeout, "endpoint silent: %v", err)
	case errors.Is(context.Cause(b.ctx), context.DeadlineExceeded):
		return errors.Wrapf(boragewick.ErrTimeout, "%v", err)
	case b.ctx.Err() != nil:
		return errors.Wrapf(boragewick.ErrCanceled, "%v", err)
	default:
		return errors.Wrapf(boragewick.ErrEndpointFailed, "%v", err)
	}
}

func newReader(b []byte) io.Reader { return bytes.NewReader(b) }
