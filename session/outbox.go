package session

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/frame"
)

// batchBytes is the maximum size of a message, unless its first frame alone is
// larger.
const batchBytes = 64 << 10

// entryOverheadBytes is counted for each entry in addition to its frame.
const entryOverheadBytes = 64

// entry is a numbered frame that the remote hasn't acknowledged.
type entry struct {
	number uint64
	frame  *bytes.Buffer
}

// outbox keeps the numbered frames until they are acknowledged. The numbers of
// its frames are consecutive.
type outbox struct {
	entries []entry
	head    int
	bytes   int
	// lastNumber is the highest number in use, nextToSend the next one to send
	// on the current connection, and highestSent the highest one that was handed
	// to any connection.
	lastNumber  uint64
	nextToSend  uint64
	highestSent uint64
	// space is closed and replaced when entries are removed and when the
	// session's last stream ends.
	space chan struct{}
}

// push assigns the next number to the frame and appends it.
func (o *outbox) push(f frame.Frame, payload []byte) error {
	buf := getBuffer()
	f.Number = o.lastNumber + 1
	if err := f.Write(buf, payload); err != nil {
		return err
	}
	o.lastNumber = f.Number
	o.entries = append(o.entries, entry{f.Number, buf})
	o.bytes += buf.Len() + entryOverheadBytes
	return nil
}

// withdraw replaces the frame by a Void unless it was handed to a connection,
// and reports whether it did.
func (o *outbox) withdraw(number uint64) bool {
	if number <= o.highestSent || o.head == len(o.entries) {
		return false
	}
	e := &o.entries[o.head+int(number-o.entries[o.head].number)]
	o.bytes -= e.frame.Len()
	e.frame.Reset()
	f := frame.Frame{Kind: frame.Void, Number: number}
	if err := f.Write(e.frame, nil); err != nil {
		return false
	}
	o.bytes += e.frame.Len()
	return true
}

// acknowledge drops the frames up to the number. The error is ErrProtocol if
// the number was never sent.
func (o *outbox) acknowledge(number uint64) error {
	if number > o.highestSent {
		return errors.Wrapf(boragewick.ErrProtocol, "frame %d acknowledged, %d sent", number, o.highestSent)
	}
	before := o.head
	for o.head < len(o.entries) && o.entries[o.head].number <= number {
		e := &o.entries[o.head]
		o.bytes -= e.frame.Len() + entryOverheadBytes
		putBuffer(e.frame)
		*e = entry{}
		o.head++
	}
	if o.head > before {
		o.compact()
		o.wakeWaiters()
	}
	return nil
}

// compact reclaims the space of dropped entries once they are half of the slice.
func (o *outbox) compact() {
	if o.head < len(o.entries) && o.head*2 < len(o.entries) {
		return
	}
	n := copy(o.entries, o.entries[o.head:])
	clear(o.entries[n:])
	o.entries = o.entries[:n]
	o.head = 0
}

// rewind makes the oldest unacknowledged frame the next one to send.
func (o *outbox) rewind() {
	o.nextToSend = o.lastNumber + 1
	if o.head < len(o.entries) {
		o.nextToSend = o.entries[o.head].number
	}
}

// appendUnsent appends frames to the batch that were not yet sent on the
// current connection, up to batchBytes.
func (o *outbox) appendUnsent(batch []byte) []byte {
	if o.head == len(o.entries) {
		return batch
	}
	first := o.entries[o.head].number
	o.nextToSend = max(o.nextToSend, first)
	for o.nextToSend <= o.lastNumber {
		b := o.entries[o.head+int(o.nextToSend-first)].frame.Bytes()
		if len(batch) > 0 && len(batch)+len(b) > batchBytes {
			break
		}
		batch = append(batch, b...)
		o.highestSent = max(o.highestSent, o.nextToSend)
		o.nextToSend++
	}
	return batch
}

// clear drops all frames.
func (o *outbox) clear() {
	o.entries = nil
	o.head = 0
	o.bytes = 0
	o.nextToSend = o.lastNumber + 1
	o.wakeWaiters()
}

// wakeWaiters wakes all goroutines that wait on space.
func (o *outbox) wakeWaiters() {
	close(o.space)
	o.space = make(chan struct{})
}
