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
