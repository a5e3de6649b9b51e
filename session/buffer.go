package session

import (
	"bytes"
	"sync"
)

// maxPooledBytes is the largest capacity of a buffer that returns to the pool.
const maxPooledBytes = 64 << 10

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// getBuffer returns an empty buffer from the pool.
func getBuffer() *bytes.Buffer {
	return buffers.Get().(*bytes.Buffer)
}

// putBuffer returns a buffer that is no longer used to the pool.
func putBuffer(b *bytes.Buffer) {
	if b.Cap() > maxPooledBytes {
		return
	}
	b.Reset()
	buffers.Put(b)
}

// batches pools the buffers in which writers assemble messages.
var batches = sync.Pool{New: func() any {
	b := make([]byte, 0, 2*batchBytes)
	return &b
}}

// getBatch returns an empty message buffer from the pool.
func getBatch() []byte {
	return *batches.Get().(*[]byte)
}

// putBatch returns the buffer of a writer with nothing to send to the pool.
func putBatch(b []byte) {
	if cap(b) != 2*batchBytes {
		return
	}
	b = b[:0]
	batches.Put(&b)
}
