package gateway

import (
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// minBodyBuffer is the size at which the buffer of a request body begins. It doubles as the
// body arrives, so that a caller that states a long body and sends nothing takes no room.
const minBodyBuffer = 4 << 10

// promiseTime is how long a body is expected to arrive. One that takes longer counts only for
// what has arrived, so that callers that send slowly or nothing do not keep others out.
const promiseTime = 2 * time.Second

// errNoMemory marks requests that are refused as there is no room for them in memory.
var errNoMemory = errors.New("no memory for the request")

// memoryUse is what one request takes of a budget.
type memoryUse struct {
	budget boragewick.MemoryBudget
	owner  string
	// held is counted in the budget for the request.
	held int64

	mu sync.Mutex
	// promised is counted in the budget until the timer ends it.
	promised int64
	timer    *time.Timer
}

// admit promises n bytes to the owner's request.
func (m *memoryUse) admit(owner string, n int64) error {
	if m.budget == nil {
		return nil
	}
	m.owner = owner
	if err := m.budget.Admit(owner, n); err != nil {
		return errors.Mark(err, errNoMemory)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.promised = n
	if n > minBodyBuffer {
		m.timer = time.AfterFunc(promiseTime, m.withdrawAll)
	}
	return nil
}

// hold counts n more bytes as held, or fewer if n is negative.
func (m *memoryUse) hold(n int64) {
	if m.budget != nil && n != 0 {
		m.held += n
		m.budget.Hold(m.owner, n)
	}
}

// arrived replaces n promised bytes by held ones.
func (m *memoryUse) arrived(n int64) {
	m.hold(n)
	m.withdraw(n)
}

// withdraw ends the promise of at most n bytes.
func (m *memoryUse) withdraw(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n = min(n, m.promised); n > 0 {
		m.promised -= n
		m.budget.Withdraw(m.owner, n)
	}
}

// withdrawAll ends the whole promise.
func (m *memoryUse) withdrawAll() { m.withdraw(math.MaxInt64) }

// releaseAll ends what the request takes.
func (m *memoryUse) releaseAll() {
	if m.timer != nil {
		m.timer.Stop()
	}
	m.withdrawAll()
	m.hold(-m.held)
}

// admitMemory refuses the request if there is no room for its body.
func (x *exchange) admitMemory() error {
	err := x.memory.admit(x.memoryOwner(), x.expectedBody())
	if err != nil {
		x.count("requests.no_memory")
	}
	return boragewick.NotRun(err)
}

// memoryOwner returns whose share of the memory the request takes: its workspace's or else
// that of the address from which it comes.
func (x *exchange) memoryOwner() string {
	if x.workspace != nil {
		return "workspace " + x.workspace.Name
	}
	host, _, err := net.SplitHostPort(x.r.RemoteAddr)
	if err != nil {
		return "unknown address"
	}
	return "address " + host
}

// expectedBody returns the length of the body, or the longest that it may have.
func (x *exchange) expectedBody() int64 {
	if n := x.r.ContentLength; n >= 0 {
		return n
	}
	return max(0, x.view.Table.Limits.BodyBytes)
}

// readBody buffers the whole body, so that it can be sent again.
func (x *exchange) readBody() error {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return x.admitMemory()
	}
	limit := x.view.Table.Limits.BodyBytes
	if limit <= 0 {
		limit = x.r.ContentLength + 1
	}
	if x.r.ContentLength > limit {
		return boragewick.NotRun(errors.Wrapf(boragewick.ErrTooLarge, "body of %d bytes", x.r.ContentLength))
	}
	if err := x.admitMemory(); err != nil {
		return err
	}
	var err error
	if n := x.r.ContentLength; n > 0 {
		err = x.fillBody(x.r.Body, n)
		if err == nil && int64(len(x.body)) < n {
			err = io.ErrUnexpectedEOF
		}
	} else {
		// One byte more than the limit shows a body that is too long.
		err = x.fillBody(http.MaxBytesReader(x.w, x.r.Body, limit), limit+1)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return boragewick.NotRun(errors.Mark(err, boragewick.ErrTooLarge))
	}
	x.memory.withdrawAll()
	return boragewick.NotRun(errors.Mark(errors.Wrap(err, "read body"), boragewick.ErrCanceled))
}

// fillBody appends r to the body until its end or until the body has n bytes. It gives up
// at the request's deadline.
func (x *exchange) fillBody(r io.Reader, n int64) error {
	for int64(len(x.body)) < n {
		if len(x.body) == cap(x.body) {
			x.growBody(min(n, max(minBodyBuffer, 2*int64(cap(x.body)))))
		}
		got, err := r.Read(x.body[len(x.body):cap(x.body)])
		x.body = x.body[:len(x.body)+got]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if time.Now().After(x.deadline) && int64(len(x.body)) < n {
			return errors.Newf("%d bytes have arrived by the deadline", len(x.body))
		}
	}
	return nil
}

// growBody gives the body a buffer of n bytes.
func (x *exchange) growBody(n int64) {
	x.memory.arrived(n - int64(cap(x.body)))
	grown := make([]byte, len(x.body), n)
	copy(grown, x.body)
	x.body = grown
}
