package gateway

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

const (
	// minUnreadTimeout is the least time without reading after which a caller is cut off.
	minUnreadTimeout = 2 * time.Second
	// unreadTime is how long an answer must have waited for the caller for its end to be
	// blamed on that. Endpoints cut off answers that stay unread for some seconds.
	unreadTime = time.Second
	// caughtUpWait is how long a read of an answer must wait to show that the endpoint has
	// nothing more to send. Reads of data that is already there take less even on a busy
	// processor.
	caughtUpWait = 50 * time.Millisecond
)

// unreadTimeout returns how long a caller of the route may read nothing: as long as it would
// itself wait for an event.
func unreadTimeout(r *boragewick.HostRoute) time.Duration {
	return max(minUnreadTimeout, r.AbandonedAfter)
}

// answerReader reads an endpoint's answer and measures how long it has waited for the caller.
type answerReader struct {
	r io.Reader
	// waited is the time for which writes to the caller took since the answer was last read
	// as far as the endpoint had sent it.
	waited time.Duration
}

// Read implements io.Reader.
func (a *answerReader) Read(p []byte) (int, error) {
	started := time.Now()
	n, err := a.r.Read(p)
	if time.Since(started) >= caughtUpWait {
		a.waited = 0
	}
	return n, err
}

// wrote records a write to the caller that began at the given time.
func (a *answerReader) wrote(started time.Time) { a.waited += time.Since(started) }

// cutUnread returns an error in place of cause if the answer broke off as the caller did not
// read it, or else nil. The error has no mark that counts as a failure of the endpoint. An
// endpoint that its agent reports as lost is not excused.
func (x *exchange) cutUnread(a *answerReader, flight boragewick.Flight, cause error) error {
	if a.waited < unreadTime || isClosed(flight.Lost()) {
		return nil
	}
	x.count("answers.cut_unread")
	_ = level.Info(x.Logger).Log("msg", "answer cut that the caller had not read", "id", x.ID, "endpoint", x.endpoint, "unread_ms", a.waited.Milliseconds(), "err", cause)
	return errors.Newf("unread for %d ms: %s", a.waited.Milliseconds(), cause)
}
