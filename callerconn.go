package boragewick

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnread marks failures to write to a caller that does not read.
var ErrUnread = errors.New("caller does not read")

// CallerConn is the connection on which a caller sent its request.
type CallerConn interface {
	// SetUnreadTimeout sets how long the caller may read nothing while a write waits for it.
	// After that the connection is reset and the write fails with ErrUnread.
	SetUnreadTimeout(d time.Duration)
}

// callerConnKey is the context key of the CallerConn.
type callerConnKey struct{}

// WithCallerConn returns a context that carries the connection.
func WithCallerConn(ctx context.Context, c CallerConn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// CallerConnFrom returns the connection that the context carries, or nil.
func CallerConnFrom(ctx context.Context) CallerConn {
	c, _ := ctx.Value(callerConnKey{}).(CallerConn)
	return c
}
