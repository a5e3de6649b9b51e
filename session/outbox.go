package session

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/frame"
)

// batchBytes is from how many bytes on a message takes no further frame.
const batchBytes = 64 << 10

// entryBytes is what an entry costs besides its frame.
const entryBytes = 64

// entry is a numbered frame that the remote hasn't acknowledged.
type entry struct {
	number uint64
	frame  *bytes.Buffer
}

// outbox keeps the numbered frames until they are acknowledged. Its numbers
// have no gaps.
type outbox struct {
	entries []entry
	head    int
	bytes   int
	// last is the newest number, next the one to send next on the current
	// connection, and handed the newest that any connection was given.
	last   uint64
	next   uint64
	handed uint64
	// space is closed and replaced when entries go.
	space chan struct{}
}

// push numbers the frame and adds it.
func (o *outbox) push(f frame.Frame, payload []byte) error {
	buf := getBuffer()
	f.Number = o.last + 1
	if err := f.Write(buf, payload); err != nil {
		return err
	}
	o.last = f.Number
	o.entries = append(o.entries, entry{f.Number, buf})
	o.bytes += buf.Len() + entryBytes
	return nil
}

// withdraw replaces the frame by a Void if no connection was given it yet.
func (o *outbox) withdraw(number uint64) bool {
	if number <= o.handed || o.head == len(o.entries) {
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
	if number > o.handed {
		return errors.Wrapf(boragewick.ErrProtocol, "frame %d acknowledged, %d sent", number, o.handed)
	}
	before := o.head
	for o.head < len(o.entries) && o.entries[o.head].number <= number {
		e := &o.entries[o.head]
		o.bytes -= e.frame.Len() + entryBytes
		putBuffer(e.frame)
		*e = entry{}
		o.head++
	}
	if o.head > before {
		o.compact()
		o.changed()
	}
	return nil
}

// compact gives back the space of dropped entries.
func (o *outbox) compact() {
	if o.head < len(o.entries) && o.head*2 < len(o.entries) {
		return
	}
	n := copy(o.entries, o.entries[o.head:])
	clear(o.entries[n:])
	o.entries = o.entries[:n]
	o.head = 0
}

// rewind makes the oldest kept frame the next one to send.
func (o *outbox) rewind() {
	o.next = o.last + 1
	if o.head < len(o.entries) {
		o.next = o.entries[o.head].number
	}
}

// take appends unsent frames to the batch.
func (o *outbox) take(batch []byte) []byte {
	if o.head == len(o.entries) {
		return batch
	}
	first := o.entries[o.head].number
	o.next = max(o.next, first)
	for o.next <= o.last {
		b := o.entries[o.head+int(o.next-first)].frame.Bytes()
		if len(batch) > 0 && len(batch)+len(b) > batchBytes {
			break
		}
		batch = append(batch, b...)
		o.handed = max(o.handed, o.next)
		o.next++
	}
	return batch
}

// clear drops all frames.
func (o *outbox) clear() {
	o.entries = nil
	o.head = 0
	o.bytes = 0
	o.next = o.last + 1
	o.changed()
}

// changed wakes all who wait for space.
func (o *outbox) changed() {
	close(o.space)
	o.space = make(chan struct{})
}
