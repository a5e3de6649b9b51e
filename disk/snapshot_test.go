package disk

import (
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

func TestSnapshots(t *testing.T) {
	m := newMemory()
	d, _ := load(t, m)
	for i := uint64(1); i <= 40; i++ {
		if err := d.Save(nil, entries(1, i, i)); err != nil {
			t.Fatal(err)
		}
		if i%10 == 0 {
			meta, data := snapshotOf(1, i)
			if err := d.SaveSnapshot(meta, data); err != nil {
				t.Fatal(err)
			}
		}
	}
	for index, readable := range map[uint64]bool{20: false, 30: true, 40: true} {
		meta, data := snapshotOf(1, index)
		p := make([]byte, 10)
		err := d.ReadSnapshot(meta, 5, p)
		if readable != (err == nil) || readable && string(p) != string(data[5:15]) {
			t.Errorf("snapshot of %d: %q, %v", index, p, err)
		}
	}
	if _, ok := m.files[segmentName(1)]; ok {
		t.Error("first segment is still there")
	}
	newest := snapshotName(&d.snapshots[0].meta)
	m.files[newest].data[100] ^= 1
	if _, err := New(m).Load(); !errors.Is(err, boragewick.ErrCorrupt) || !strings.Contains(err.Error(), newest) {
		t.Errorf("damaged snapshot: %v", err)
	}
	delete(m.files, newest)
	if _, s := load(t, m); s.Snapshot.Revision.Index != 30 || len(s.Entries) != 10 {
		t.Errorf("without it: snapshot of %d and %d entries", s.Snapshot.Revision.Index, len(s.Entries))
	}
}

func TestTransferResumes(t *testing.T) {
	m := newMemory()
	d, _ := load(t, m)
	meta, data := snapshotOf(3, 70)
	if err := d.SaveChunk(boragewick.SnapshotChunk{Meta: meta, Data: data[:20]}); err != nil {
		t.Fatal(err)
	}
	d, s := load(t, m)
	if s.Incoming == nil || s.Incoming.Offset != 20 || !s.Incoming.Meta.Same(&meta) {
		t.Fatalf("incoming %+v", s.Incoming)
	}
	if err := d.SaveChunk(boragewick.SnapshotChunk{Meta: meta, Offset: 20, Data: data[20:]}); err != nil {
		t.Fatal(err)
	}
	got, err := d.InstallSnapshot(meta)
	if err != nil || string(got) != string(data) {
		t.Fatalf("got %q, %v", got, err)
	}
}

func TestDamagedTransferIsForgotten(t *testing.T) {
	m := newMemory()
	d, _ := load(t, m)
	meta, data := snapshotOf(3, 70)
	bad := slices.Clone(data)
	bad[8] ^= 1
	if err := d.SaveChunk(boragewick.SnapshotChunk{Meta: meta, Data: bad}); err != nil {
		t.Fatal(err)
	}
	if _, err := d.InstallSnapshot(meta); !errors.Is(err, boragewick.ErrCorrupt) {
		t.Fatalf("error %v", err)
	}
	if err := d.Save(nil, entries(1, 1, 1)); err != nil {
		t.Errorf("save after it: %v", err)
	}
	if _, s := load(t, m); s.Snapshot.Revision.Index != 0 || len(s.Entries) != 1 {
		t.Errorf("found snapshot of %d and %d entries", s.Snapshot.Revision.Index, len(s.Entries))
	}
}

func TestFolderIsLocked(t *testing.T) {
	path := t.TempDir()
	folder, err := Folder(path)
	if err != nil {
		t.Fatal(err)
	}
	d, _ := load(t, folder)
	if _, err := Folder(path); !errors.Is(err, boragewick.ErrStorage) {
		t.Errorf("second use: %v", err)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := Folder(path); err != nil {
		t.Errorf("after close: %v", err)
	}
}
