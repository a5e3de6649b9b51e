package disk

import (
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

func TestSnapshotRetentionAndDamage(t *testing.T) {
	m := newMemoryFolder()
	d, _ := mustLoad(t, m)
	for i := uint64(1); i <= 40; i++ {
		if err := d.Save(nil, testEntries(1, i, i)); err != nil {
			t.Fatal(err)
		}
		if i%10 == 0 {
			meta, data := testSnapshot(1, i)
			if err := d.SaveSnapshot(meta, data); err != nil {
				t.Fatal(err)
			}
		}
	}
	for index, readable := range map[uint64]bool{20: false, 30: true, 40: true} {
		meta, data := testSnapshot(1, index)
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
	if _, s := mustLoad(t, m); s.Snapshot.Revision.Index != 30 || len(s.Entries) != 10 {
		t.Errorf("without the newest snapshot: snapshot of %d and %d entries", s.Snapshot.Revision.Index, len(s.Entries))
	}
}

func TestSnapshotTransferResumes(t *testing.T) {
	m := newMemoryFolder()
	d, _ := mustLoad(t, m)
	meta, data := testSnapshot(3, 70)
	if err := d.SaveChunk(boragewick.SnapshotChunk{Meta: meta, Data: data[:20]}); err != nil {
		t.Fatal(err)
	}
	d, s := mustLoad(t, m)
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

func TestDamagedSnapshotTransferIsDiscarded(t *testing.T) {
	m := newMemoryFolder()
	d, _ := mustLoad(t, m)
	meta, data := testSnapshot(3, 70)
	bad := slices.Clone(data)
	bad[8] ^= 1
	if err := d.SaveChunk(boragewick.SnapshotChunk{Meta: meta, Data: bad}); err != nil {
		t.Fatal(err)
	}
	if _, err := d.InstallSnapshot(meta); !errors.Is(err, boragewick.ErrCorrupt) {
		t.Fatalf("error %v", err)
	}
	if err := d.Save(nil, testEntries(1, 1, 1)); err != nil {
		t.Errorf("save after the damaged transfer: %v", err)
	}
	if _, s := mustLoad(t, m); s.Snapshot.Revision.Index != 0 || len(s.Entries) != 1 {
		t.Errorf("found snapshot of %d and %d entries", s.Snapshot.Revision.Index, len(s.Entries))
	}
}

func TestOpenFolderLocks(t *testing.T) {
	path := t.TempDir()
	folder, err := OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	d, _ := mustLoad(t, folder)
	if _, err := OpenFolder(path); !errors.Is(err, boragewick.ErrStorage) {
		t.Errorf("folder opened twice: %v", err)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenFolder(path); err != nil {
		t.Errorf("folder reopened after close: %v", err)
	}
}
