package disk

import (
	"bytes"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

var (
	errNoSpace = errors.New("no space left on device")
	errSync    = errors.New("input/output error")
	errCrashed = errors.New("crashed")
)

// memoryFolder is a folder in memory that may lose unsynced data in a crash.
type memoryFolder struct {
	files  map[string]*memoryFile
	synced map[string]*memoryFile
	// unsyncedNames holds the folder's state after each change since the last
	// sync.
	unsyncedNames []map[string]*memoryFile
	// failAfter is the number of operations until failWith takes effect.
	failAfter int
	failWith  error
	// failOnce makes only one operation fail.
	failOnce bool
}

// memoryFile is a file together with its content at the last sync.
type memoryFile struct {
	m      *memoryFolder
	data   []byte
	synced []byte
}

func newMemoryFolder() *memoryFolder {
	return &memoryFolder{files: map[string]*memoryFile{}, synced: map[string]*memoryFile{}, failAfter: -1}
}

// nextError counts an operation and returns the error that it must fail with, if
// any.
func (m *memoryFolder) nextError() error {
	if m.failAfter < 0 {
		return nil
	}
	if m.failAfter > 0 {
		m.failAfter--
		return nil
	}
	if m.failOnce {
		m.failAfter = -1
	}
	return m.failWith
}

func (m *memoryFolder) recordNames() {
	m.unsyncedNames = append(m.unsyncedNames, maps.Clone(m.files))
}

func (m *memoryFolder) Create(name string) (boragewick.File, error) {
	if err := m.nextError(); err != nil {
		return nil, err
	}
	f := &memoryFile{m: m}
	m.files[name] = f
	m.recordNames()
	return f, nil
}

func (m *memoryFolder) Open(name string) (boragewick.File, error) {
	f, ok := m.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return f, nil
}

func (m *memoryFolder) Rename(from, to string) error {
	if err := m.nextError(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	m.recordNames()
	return nil
}

func (m *memoryFolder) Remove(name string) error {
	if err := m.nextError(); err != nil {
		return err
	}
	delete(m.files, name)
	m.recordNames()
	return nil
}

func (m *memoryFolder) List() ([]string, error) {
	return slices.Sorted(maps.Keys(m.files)), nil
}

func (m *memoryFolder) Sync() error {
	if err := m.nextError(); err != nil {
		return err
	}
	m.synced, m.unsyncedNames = maps.Clone(m.files), nil
	return nil
}

// crash returns a state in which the next start may find the folder: names as of
// the last sync or any change since, and for each file its synced content and a
// part of the unsynced content, whose end may be zeros instead of the bytes that
// never reached the disk.
func (m *memoryFolder) crash(rng *rand.Rand) *memoryFolder {
	names := m.synced
	if n := rng.IntN(len(m.unsyncedNames) + 1); n > 0 {
		names = m.unsyncedNames[n-1]
	}
	next := newMemoryFolder()
	for name, f := range names {
		data := slices.Clone(f.synced)
		if bytes.HasPrefix(f.data, f.synced) {
			rest := slices.Clone(f.data[len(f.synced):])
			rest = rest[:rng.IntN(len(rest)+1)]
			if len(rest) > 0 && rng.IntN(2) == 0 {
				clear(rest[rng.IntN(len(rest)):])
			}
			data = append(data, rest...)
		}
		next.files[name] = &memoryFile{m: next, data: data, synced: slices.Clone(data)}
	}
	next.synced = maps.Clone(next.files)
	return next
}

// Write writes the first half of p when it fails.
func (f *memoryFile) Write(p []byte) (int, error) {
	if err := f.m.nextError(); err != nil {
		f.data = append(f.data, p[:len(p)/2]...)
		return len(p) / 2, err
	}
	f.data = append(f.data, p...)
	return len(p), nil
}

func (f *memoryFile) ReadAt(p []byte, off int64) (int, error) {
	if off > int64(len(f.data)) {
		return 0, io.EOF
	}
	n := copy(p, f.data[off:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *memoryFile) Size() (int64, error) { return int64(len(f.data)), nil }

func (f *memoryFile) Truncate(size int64) error {
	if err := f.m.nextError(); err != nil {
		return err
	}
	f.data = f.data[:size:size]
	return nil
}

func (f *memoryFile) Sync() error {
	if err := f.m.nextError(); err != nil {
		return err
	}
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *memoryFile) Close() error { return nil }
