package session

import (
	"testing"

	"github.com/boragewick/boragewick/frame"
)

// TestResentFramesCountAsSent sends two frames in two batches and rewinds. A
// frame that was sent before the rewind must not be withdrawn, as the remote
// may have received it.
func TestResentFramesCountAsSent(t *testing.T) {
	o := outbox{space: make(chan struct{})}
	for range 2 {
		if err := o.push(frame.Frame{Kind: frame.Open}, make([]byte, batchBytes-100)); err != nil {
			t.Fatal(err)
		}
		o.appendUnsent(nil)
	}
	o.rewind()
	o.appendUnsent(nil)
	if o.nextToSend != 2 || o.withdraw(2) {
		t.Errorf("next %d; a frame that was sent could be withdrawn", o.nextToSend)
	}
}
