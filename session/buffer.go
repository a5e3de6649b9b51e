package session

import (
	"bytes"
	"sync"
)

// maxPooledBytes is the largest buffer that is used again.
const maxPooledBytes = 64 << 10

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// getBuffer returns an empty buffer.
func getBuffer() *bytes.Buffer {
	return buffers.Get().(*bytes.Buffer)
}

// putBuffer takes back a buffer that nobody uses any more.
func putBuffer(b *bytes.Buffer) {
	if b.Cap() > maxPooledBytes {
		return
	}
	b.Reset()
	buffers.Put(b)
}

// batches holds buffers for the messages of writers.
var batches = sync.Pool{New: func() any {
	b := make([]byte, 0, 2*batchBytes)
	return &b
}}

// getBatch returns an empty buffer for a message.
func getBatch() []byte {
	return *batches.Get().(*[]byte)
}

// putBatch takes back the buffer of a writer that has nothing to send.
func putBatch(b []byte) {
	if cap(b) != 2*batchBytes {
		return
	}
	b = b[:0]
	batches.Put(&b)
}
