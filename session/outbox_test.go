package session

import (
	"testing"

	"github.com/boragewick/boragewick/frame"
)

// TestResentFramesCountAsHanded sends two frames in two batches and begins
// again: the second one is still known to have been sent.
func TestResentFramesCountAsHanded(t *testing.T) {
	o := outbox{space: make(chan struct{})}
	for range 2 {
		if err := o.push(frame.Frame{Kind: frame.Open}, make([]byte, batchBytes-100)); err != nil {
			t.Fatal(err)
		}
		o.take(nil)
	}
	o.rewind()
	o.take(nil)
	if o.next != 2 || o.withdraw(2) {
		t.Errorf("next %d; a frame that was sent could be withdrawn", o.next)
	}
}
