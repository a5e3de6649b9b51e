package endpointhttp

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// body is the body of an answer with a time limit on each read. The time that
// the reader takes between two reads does not count.
type body struct {
	ctx               context.Context
	cancel            context.CancelCauseFunc
	timer             *time.Timer
	rc                io.ReadCloser
	firstByteDeadline time.Time
	readTimeout       time.Duration
	started           bool
}

// Read reads from the body. It returns io.EOF only at the end of a complete
// body.
func (b *body) Read(p []byte) (int, error) {
	limit := b.readTimeout
	if !b.started {
		limit = time.Until(b.firstByteDeadline)
	}
	b.timer.Reset(limit)
	n, err := b.rc.Read(p)
	b.timer.Stop()
	b.started = b.started || n > 0
	if err != nil && err != io.EOF { //nolint:errorlint // an io.Reader returns io.EOF itself
		err = b.wrapError(err)
	}
	return n, err
}

// Close ends the call. If the body was not read to its end, its connection is
// closed too.
func (b *body) Close() error {
	b.timer.Stop()
	b.cancel(nil)
	return b.rc.Close()
}

func (b *body) cancelOnTimeout() { b.cancel(boragewick.ErrTimeout) }

// wrapError returns ErrTimeout, ErrCanceled or ErrEndpointFailed, depending on
// why the call failed, with the text of err.
func (b *body) wrapError(err error) error {
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
