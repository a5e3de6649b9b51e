package disk

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

var _ boragewick.Storage = (*Disk)(nil)

// testSegmentLimit limits segments to a few records.
const testSegmentLimit = 600

func mustLoad(t testing.TB, fsys boragewick.FileSystem) (*Disk, boragewick.StoredLog) {
	t.Helper()
	d := New(fsys)
	d.segmentLimit = testSegmentLimit
	s, err := d.Load()
	if err != nil {
		t.Fatal(err)
	}
	return d, s
}

// testEntries returns commands of the term with the indexes from first to last.
func testEntries(term, first, last uint64) []boragewick.LogEntry {
	var list []boragewick.LogEntry
	for i := first; i <= last; i++ {
		list = append(list, boragewick.LogEntry{
			Revision: boragewick.Revision{Term: term, Index: i},
			Kind:     boragewick.EntryCommand,
			Command:  fmt.Appendf(nil, "command %d of term %d", i, term),
		})
	}
	return list
}

func testSnapshot(term, index uint64) (boragewick.SnapshotMeta, []byte) {
	data := fmt.Appendf(nil, "state at %d%s", index, strings.Repeat(".", 50))
	return boragewick.SnapshotMeta{
		Revision: boragewick.Revision{Term: term, Index: index},
		Size:     uint64(len(data)),
		Sum:      xxhash.Sum64(data),
	}, data
}

// newTestLog returns a folder with a log of three saved records.
func newTestLog(t testing.TB) *memoryFolder {
	t.Helper()
	m := newMemoryFolder()
	d, _ := mustLoad(t, m)
	d.segmentLimit = segmentBytes
	for i := uint64(1); i <= 3; i++ {
		h := &boragewick.HardState{Term: i}
		if err := d.Save(h, testEntries(1, 2*i-1, 2*i)); err != nil {
			t.Fatal(err)
		}
	}
	return m
}

// recordEnds returns the offsets at which the records of the first segment end.
func recordEnds(t testing.TB, b []byte) []int {
	t.Helper()
	at := len(segmentMagic) + saltBytes
	key := salt(b[len(segmentMagic):at])
	offsets := []int{at}
	for at < len(b) {
		var r record
		n, err := decodeRecord(b[at:], key, &r)
		if err != nil {
			t.Fatal(err)
		}
		at += n
		offsets = append(offsets, at)
	}
	return offsets
}

func TestTornTailOfAnyLengthIsTruncated(t *testing.T) {
	whole := newTestLog(t).files[segmentName(1)].data
	offsets := recordEnds(t, whole)
	last := offsets[len(offsets)-2]
	tails := map[string]func(int) []byte{
		"short": func(int) []byte { return nil },
		"zeros": func(n int) []byte { return make([]byte, n) },
		"noise": func(n int) []byte { return []byte(strings.Repeat("x", n)) },
	}
	for name, makeTail := range tails {
		t.Run(name, func(t *testing.T) {
			for cut := last; cut < len(whole); cut++ {
				m := newTestLog(t)
				f := m.files[segmentName(1)]
				f.data = append(f.data[:cut:cut], makeTail(len(whole)-cut)...)
				d, s := mustLoad(t, m)
				if s.Hard.Term != 2 || !reflect.DeepEqual(s.Entries, testEntries(1, 1, 4)) {
					t.Fatalf("cut at %d: term %d, %d entries", cut, s.Hard.Term, len(s.Entries))
				}
				if err := d.Save(nil, testEntries(2, 5, 5)); err != nil {
					t.Fatal(err)
				}
				if _, s := mustLoad(t, m); len(s.Entries) != 5 {
					t.Fatalf("cut at %d: %d entries after one more", cut, len(s.Entries))
				}
			}
		})
	}
}

func TestDamageBeforeLastRecordIsRejected(t *testing.T) {
	offsets := recordEnds(t, newTestLog(t).files[segmentName(1)].data)
	for at := range offsets[len(offsets)-2] {
		m := newTestLog(t)
		m.files[segmentName(1)].data[at] ^= 0x40
		_, err := New(m).Load()
		if !errors.Is(err, boragewick.ErrCorrupt) {
			t.Fatalf("damage at %d: error %v", at, err)
		}
		record := 0
		for _, end := range offsets {
			if end <= at {
				record = end
			}
		}
		position := fmt.Sprintf("file %s, offset %d:", segmentName(1), record)
		if at >= offsets[0] && !strings.Contains(err.Error(), position) {
			t.Fatalf("damage at %d: %v does not name %q", at, err, position)
		}
		if boragewick.CodeOf(err) != "corrupt" {
			t.Fatalf("code %s", boragewick.CodeOf(err))
		}
	}
}

func TestMissingFileIsRejected(t *testing.T) {
	for _, name := range []string{identityName, segmentName(1), segmentName(2)} {
		t.Run(name, func(t *testing.T) {
			m := newMemoryFolder()
			d, _ := mustLoad(t, m)
			for i := uint64(1); i <= 30; i++ {
				if err := d.Save(nil, testEntries(1, i, i)); err != nil {
					t.Fatal(err)
				}
			}
			delete(m.files, name)
			if _, err := New(m).Load(); !errors.Is(err, boragewick.ErrCorrupt) {
				t.Errorf("error %v", err)
			}
		})
	}
}

func TestWriteFailureIsSticky(t *testing.T) {
	tests := map[string]struct {
		failWith  error
		failAfter int
	}{
		"full disk":  {errNoSpace, 0},
		"sync error": {errSync, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMemoryFolder()
			d, _ := mustLoad(t, m)
			if err := d.Save(nil, testEntries(1, 1, 1)); err != nil {
				t.Fatal(err)
			}
			m.failAfter, m.failWith, m.failOnce = tt.failAfter, tt.failWith, true
			if err := d.Save(nil, testEntries(1, 2, 2)); !errors.Is(err, boragewick.ErrStorage) {
				t.Errorf("failed save: %v", err)
			}
			if err := d.Save(nil, testEntries(1, 2, 2)); !errors.Is(err, boragewick.ErrStorage) {
				t.Errorf("save after the failure: %v", err)
			}
			meta, data := testSnapshot(1, 1)
			if err := d.SaveSnapshot(meta, data); !errors.Is(err, boragewick.ErrStorage) {
				t.Errorf("snapshot after the failure: %v", err)
			}
			if _, s := mustLoad(t, m.crash(rand.New(rand.NewPCG(1, 1)))); len(s.Entries) < 1 {
				t.Error("synced entry lost")
			}
		})
	}
}

// expectation tracks the state that the storage has acknowledged to a workload,
// and the states that it may hold after a crash during the current operation.
type expectation struct {
	acknowledged boragewick.StoredLog
	allowed      []boragewick.StoredLog
}

// step runs one operation of a workload; after applies its effect to the
// acknowledged state. A crash may leave the new hard state without the entries.
func (e *expectation) step(run func() error, after func(*boragewick.StoredLog)) error {
	next := e.acknowledged
	next.Entries = slices.Clone(next.Entries)
	after(&next)
	hardOnly := e.acknowledged
	hardOnly.Hard = next.Hard
	e.allowed = []boragewick.StoredLog{e.acknowledged, hardOnly, next}
	if err := run(); err != nil {
		return err
	}
	e.acknowledged = next
	e.allowed = []boragewick.StoredLog{next}
	return nil
}

// save replaces the entries from the index of the first given one on.
func (e *expectation) save(d *Disk, h boragewick.HardState, list []boragewick.LogEntry) error {
	return e.step(func() error { return d.Save(&h, list) }, func(s *boragewick.StoredLog) {
		s.Hard = h
		s.Entries = append(s.Entries[:list[0].Revision.Index-s.Snapshot.Revision.Index-1], list...)
	})
}

// snapshot stores a snapshot up to the index.
func (e *expectation) snapshot(d *Disk, term, index uint64) error {
	meta, data := testSnapshot(term, index)
	return e.step(func() error { return d.SaveSnapshot(meta, data) }, func(s *boragewick.StoredLog) {
		s.Entries = s.Entries[index-s.Snapshot.Revision.Index:]
		s.Snapshot, s.Data = meta, data
	})
}

// receive installs a snapshot that arrives in two chunks.
func (e *expectation) receive(d *Disk, term, index uint64) error {
	meta, data := testSnapshot(term, index)
	half := len(data) / 2
	for _, c := range []boragewick.SnapshotChunk{
		{Meta: meta, Data: data[:half]},
		{Meta: meta, Offset: uint64(half), Data: data[half:]},
	} {
		if err := e.step(func() error { return d.SaveChunk(c) }, func(*boragewick.StoredLog) {}); err != nil {
			return err
		}
	}
	install := func() error {
		_, err := d.InstallSnapshot(meta)
		return err
	}
	return e.step(install, func(s *boragewick.StoredLog) {
		s.Snapshot, s.Data, s.Entries = meta, data, nil
	})
}

// runWorkload rolls segments, overwrites entries, stores snapshots and installs
// a received one.
func (e *expectation) runWorkload(d *Disk) error {
	for i := uint64(1); i <= 40; i++ {
		h := boragewick.HardState{Term: i}
		if err := e.save(d, h, testEntries(i, i, i+1)); err != nil {
			return err
		}
		if i%9 == 0 {
			if err := e.snapshot(d, i, i); err != nil {
				return err
			}
		}
	}
	if err := e.receive(d, 50, 100); err != nil {
		return err
	}
	return e.save(d, boragewick.HardState{Term: 60}, testEntries(60, 101, 104))
}

func TestCrashAtEveryOperation(t *testing.T) {
	for failAfter, done := 0, false; !done; failAfter++ {
		for seed := range uint64(8) {
			done = crashAt(t, failAfter, seed)
		}
	}
}

// crashAt fails all operations after the first failAfter ones, crashes and
// compares the recovered state with the allowed ones. It reports whether the
// workload completed.
func crashAt(t *testing.T, failAfter int, seed uint64) bool {
	t.Helper()
	m := newMemoryFolder()
	d, first := mustLoad(t, m)
	m.failAfter, m.failWith = failAfter, errCrashed
	var expected expectation
	expected.acknowledged.Identity = first.Identity
	expected.allowed = []boragewick.StoredLog{expected.acknowledged}
	err := expected.runWorkload(d)
	_, s := mustLoad(t, m.crash(rand.New(rand.NewPCG(uint64(failAfter), seed))))
	s.Incoming = nil
	if !slices.ContainsFunc(expected.allowed, func(want boragewick.StoredLog) bool { return sameLog(want, s) }) {
		t.Fatalf("operation %d, seed %d: found %+v\nwant one of %+v", failAfter, seed, s, expected.allowed)
	}
	return err == nil
}

// sameLog reports whether both logs have the same content.
func sameLog(a, b boragewick.StoredLog) bool {
	return fmt.Sprintf("%+v", a) == fmt.Sprintf("%+v", b)
}

func TestCrashWhileInitialising(t *testing.T) {
	for failAfter := 0; ; failAfter++ {
		m := newMemoryFolder()
		m.failAfter, m.failWith = failAfter, errCrashed
		_, err := New(m).Load()
		if _, s := mustLoad(t, m.crash(rand.New(rand.NewPCG(uint64(failAfter), 3)))); s.Identity == "" {
			t.Fatal("no identity")
		}
		if err == nil {
			return
		}
	}
}
