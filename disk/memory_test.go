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
	errFull = errors.New("no space left on device")
	errSync = errors.New("input/output error")
	errDown = errors.New("crashed")
)

// memory is a folder that loses on a crash what was not synced.
type memory struct {
	files  map[string]*memoryFile
	synced map[string]*memoryFile
	// pending are the states of the folder since it was last synced.
	pending []map[string]*memoryFile
	// left is the number of operations until fail takes effect.
	left int
	fail error
	// once lets only one operation fail.
	once bool
}

// memoryFile is a file with the part that is synced.
type memoryFile struct {
	m      *memory
	data   []byte
	synced []byte
}

func newMemory() *memory {
	return &memory{files: map[string]*memoryFile{}, synced: map[string]*memoryFile{}, left: -1}
}

// step counts an operation and returns the error that is due.
func (m *memory) step() error {
	if m.left < 0 {
		return nil
	}
	if m.left > 0 {
		m.left--
		return nil
	}
	if m.once {
		m.left = -1
	}
	return m.fail
}

func (m *memory) changed() {
	m.pending = append(m.pending, maps.Clone(m.files))
}

func (m *memory) Create(name string) (boragewick.File, error) {
	if err := m.step(); err != nil {
		return nil, err
	}
	f := &memoryFile{m: m}
	m.files[name] = f
	m.changed()
	return f, nil
}

func (m *memory) Open(name string) (boragewick.File, error) {
	f, ok := m.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return f, nil
}

func (m *memory) Rename(from, to string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	m.changed()
	return nil
}

func (m *memory) Remove(name string) error {
	if err := m.step(); err != nil {
		return err
	}
	delete(m.files, name)
	m.changed()
	return nil
}

func (m *memory) List() ([]string, error) {
	return slices.Sorted(maps.Keys(m.files)), nil
}

func (m *memory) Sync() error {
	if err := m.step(); err != nil {
		return err
	}
	m.synced, m.pending = maps.Clone(m.files), nil
	return nil
}

// crash returns the folder as the next start may find it: names as of the last
// sync or any change since, and of each file what was synced and a part of
// what was not, possibly with bytes that never reached the disk.
func (m *memory) crash(rng *rand.Rand) *memory {
	names := m.synced
	if n := rng.IntN(len(m.pending) + 1); n > 0 {
		names = m.pending[n-1]
	}
	next := newMemory()
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

// Write writes half of p when it fails.
func (f *memoryFile) Write(p []byte) (int, error) {
	if err := f.m.step(); err != nil {
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
	if err := f.m.step(); err != nil {
		return err
	}
	f.data = f.data[:size:size]
	return nil
}

func (f *memoryFile) Sync() error {
	if err := f.m.step(); err != nil {
		return err
	}
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *memoryFile) Close() error { return nil }
