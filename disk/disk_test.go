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

// testLimit makes segments of a few records.
const testLimit = 600

func load(t testing.TB, fsys boragewick.FileSystem) (*Disk, boragewick.StoredLog) {
	t.Helper()
	d := New(fsys)
	d.limit = testLimit
	s, err := d.Load()
	if err != nil {
		t.Fatal(err)
	}
	return d, s
}

// entries returns commands of the term with these indexes.
func entries(term, first, last uint64) []boragewick.LogEntry {
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

func snapshotOf(term, index uint64) (boragewick.SnapshotMeta, []byte) {
	data := fmt.Appendf(nil, "state at %d%s", index, strings.Repeat(".", 50))
	return boragewick.SnapshotMeta{
		Revision: boragewick.Revision{Term: term, Index: index},
		Size:     uint64(len(data)),
		Sum:      xxhash.Sum64(data),
	}, data
}

// fill stores three records and returns the folder.
func fill(t testing.TB) *memory {
	t.Helper()
	m := newMemory()
	d, _ := load(t, m)
	d.limit = segmentBytes
	for i := uint64(1); i <= 3; i++ {
		h := &boragewick.HardState{Term: i}
		if err := d.Save(h, entries(1, 2*i-1, 2*i)); err != nil {
			t.Fatal(err)
		}
	}
	return m
}

// ends returns the offsets at which the records of the first segment end.
func ends(t testing.TB, b []byte) []int {
	t.Helper()
	at := len(segmentMagic) + saltBytes
	key := salt(b[len(segmentMagic):at])
	list := []int{at}
	for at < len(b) {
		var r record
		n, err := decodeRecord(b[at:], key, &r)
		if err != nil {
			t.Fatal(err)
		}
		at += n
		list = append(list, at)
	}
	return list
}

func TestTornTailIsCutAtEveryByte(t *testing.T) {
	whole := fill(t).files[segmentName(1)].data
	list := ends(t, whole)
	last := list[len(list)-2]
	fills := map[string]func(int) []byte{
		"short": func(int) []byte { return nil },
		"zeros": func(n int) []byte { return make([]byte, n) },
		"noise": func(n int) []byte { return []byte(strings.Repeat("x", n)) },
	}
	for name, tail := range fills {
		t.Run(name, func(t *testing.T) {
			for cut := last; cut < len(whole); cut++ {
				m := fill(t)
				f := m.files[segmentName(1)]
				f.data = append(f.data[:cut:cut], tail(len(whole)-cut)...)
				d, s := load(t, m)
				if s.Hard.Term != 2 || !reflect.DeepEqual(s.Entries, entries(1, 1, 4)) {
					t.Fatalf("cut at %d: term %d, %d entries", cut, s.Hard.Term, len(s.Entries))
				}
				if err := d.Save(nil, entries(2, 5, 5)); err != nil {
					t.Fatal(err)
				}
				if _, s := load(t, m); len(s.Entries) != 5 {
					t.Fatalf("cut at %d: %d entries after one more", cut, len(s.Entries))
				}
			}
		})
	}
}

func TestDamageInTheMiddleIsRefused(t *testing.T) {
	list := ends(t, fill(t).files[segmentName(1)].data)
	for at := range list[len(list)-2] {
		m := fill(t)
		m.files[segmentName(1)].data[at] ^= 0x40
		_, err := New(m).Load()
		if !errors.Is(err, boragewick.ErrCorrupt) {
			t.Fatalf("damage at %d: error %v", at, err)
		}
		record := 0
		for _, end := range list {
			if end <= at {
				record = end
			}
		}
		place := fmt.Sprintf("file %s, offset %d:", segmentName(1), record)
		if at >= list[0] && !strings.Contains(err.Error(), place) {
			t.Fatalf("damage at %d: %v does not name %q", at, err, place)
		}
		if boragewick.CodeOf(err) != "corrupt" {
			t.Fatalf("code %s", boragewick.CodeOf(err))
		}
	}
}

func TestMissingFilesAreRefused(t *testing.T) {
	for _, name := range []string{identityName, segmentName(1), segmentName(2)} {
		t.Run(name, func(t *testing.T) {
			m := newMemory()
			d, _ := load(t, m)
			for i := uint64(1); i <= 30; i++ {
				if err := d.Save(nil, entries(1, i, i)); err != nil {
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

func TestFailureIsSticky(t *testing.T) {
	tests := map[string]struct {
		fail error
		left int
	}{
		"full disk":  {errFull, 0},
		"sync error": {errSync, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMemory()
			d, _ := load(t, m)
			if err := d.Save(nil, entries(1, 1, 1)); err != nil {
				t.Fatal(err)
			}
			m.left, m.fail, m.once = tt.left, tt.fail, true
			if err := d.Save(nil, entries(1, 2, 2)); !errors.Is(err, boragewick.ErrStorage) {
				t.Errorf("failed save: %v", err)
			}
			if err := d.Save(nil, entries(1, 2, 2)); !errors.Is(err, boragewick.ErrStorage) {
				t.Errorf("save after it: %v", err)
			}
			meta, data := snapshotOf(1, 1)
			if err := d.SaveSnapshot(meta, data); !errors.Is(err, boragewick.ErrStorage) {
				t.Errorf("snapshot after it: %v", err)
			}
			if _, s := load(t, m.crash(rand.New(rand.NewPCG(1, 1)))); len(s.Entries) < 1 {
				t.Error("synced entry lost")
			}
		})
	}
}

// journal is what a workload was promised, and what it had under way.
type journal struct {
	stored  boragewick.StoredLog
	pending []boragewick.StoredLog
}

// try runs one step of a workload; after tells the state that it leads to. A
// crash may leave the new hard state without the entries.
func (j *journal) try(run func() error, after func(*boragewick.StoredLog)) error {
	next := j.stored
	next.Entries = slices.Clone(next.Entries)
	after(&next)
	hardOnly := j.stored
	hardOnly.Hard = next.Hard
	j.pending = []boragewick.StoredLog{j.stored, hardOnly, next}
	if err := run(); err != nil {
		return err
	}
	j.stored = next
	j.pending = []boragewick.StoredLog{next}
	return nil
}

// save stores entries from the first one's index on.
func (j *journal) save(d *Disk, h boragewick.HardState, list []boragewick.LogEntry) error {
	return j.try(func() error { return d.Save(&h, list) }, func(s *boragewick.StoredLog) {
		s.Hard = h
		s.Entries = append(s.Entries[:list[0].Revision.Index-s.Snapshot.Revision.Index-1], list...)
	})
}

// take stores a snapshot of the index.
func (j *journal) take(d *Disk, term, index uint64) error {
	meta, data := snapshotOf(term, index)
	return j.try(func() error { return d.SaveSnapshot(meta, data) }, func(s *boragewick.StoredLog) {
		s.Entries = s.Entries[index-s.Snapshot.Revision.Index:]
		s.Snapshot, s.Data = meta, data
	})
}

// receive stores a snapshot that comes in two chunks.
func (j *journal) receive(d *Disk, term, index uint64) error {
	meta, data := snapshotOf(term, index)
	half := len(data) / 2
	for _, c := range []boragewick.SnapshotChunk{
		{Meta: meta, Data: data[:half]},
		{Meta: meta, Offset: uint64(half), Data: data[half:]},
	} {
		if err := j.try(func() error { return d.SaveChunk(c) }, func(*boragewick.StoredLog) {}); err != nil {
			return err
		}
	}
	install := func() error {
		_, err := d.InstallSnapshot(meta)
		return err
	}
	return j.try(install, func(s *boragewick.StoredLog) {
		s.Snapshot, s.Data, s.Entries = meta, data, nil
	})
}

// work rolls segments, overwrites entries, takes snapshots and installs one.
func (j *journal) work(d *Disk) error {
	for i := uint64(1); i <= 40; i++ {
		h := boragewick.HardState{Term: i}
		if err := j.save(d, h, entries(i, i, i+1)); err != nil {
			return err
		}
		if i%9 == 0 {
			if err := j.take(d, i, i); err != nil {
				return err
			}
		}
	}
	if err := j.receive(d, 50, 100); err != nil {
		return err
	}
	return j.save(d, boragewick.HardState{Term: 60}, entries(60, 101, 104))
}

func TestCrashAtEveryOperation(t *testing.T) {
	for left, done := 0, false; !done; left++ {
		for seed := range uint64(8) {
			done = crashAt(t, left, seed)
		}
	}
}

// crashAt fails all operations after so many, crashes and compares what is
// found with what was promised. It reports whether the workload was completed.
func crashAt(t *testing.T, left int, seed uint64) bool {
	t.Helper()
	m := newMemory()
	d, first := load(t, m)
	m.left, m.fail = left, errDown
	var j journal
	j.stored.Identity = first.Identity
	j.pending = []boragewick.StoredLog{j.stored}
	err := j.work(d)
	_, s := load(t, m.crash(rand.New(rand.NewPCG(uint64(left), seed))))
	s.Incoming = nil
	if !slices.ContainsFunc(j.pending, func(want boragewick.StoredLog) bool { return same(want, s) }) {
		t.Fatalf("operation %d, seed %d: found %+v\nwant one of %+v", left, seed, s, j.pending)
	}
	return err == nil
}

// same reports whether both logs hold the same.
func same(a, b boragewick.StoredLog) bool {
	return fmt.Sprintf("%+v", a) == fmt.Sprintf("%+v", b)
}

func TestCrashWhileInitialising(t *testing.T) {
	for left := 0; ; left++ {
		m := newMemory()
		m.left, m.fail = left, errDown
		_, err := New(m).Load()
		if _, s := load(t, m.crash(rand.New(rand.NewPCG(uint64(left), 3)))); s.Identity == "" {
			t.Fatal("no identity")
		}
		if err == nil {
			return
		}
	}
}
