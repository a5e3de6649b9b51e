package disk

import (
	"fmt"
	"io/fs"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// A snapshot file is a record with the SnapshotMeta and then the bytes.
const (
	snapshotSuffix  = ".snapshot"
	temporarySuffix = ".temporary"
	incomingName    = "incoming" + temporarySuffix
	writtenName     = "written" + temporarySuffix
	// keptSnapshots are the newest one and the one before it.
	keptSnapshots = 2
)

// snapshotSalt tells snapshot files of this format from others.
var snapshotSalt = salt([]byte("boragewick snap1"))

// storedSnapshot is an open snapshot file.
type storedSnapshot struct {
	name   string
	meta   boragewick.SnapshotMeta
	file   boragewick.File
	header int64
}

// snapshotName returns a name that sorts by index.
func snapshotName(meta *boragewick.SnapshotMeta) string {
	return fmt.Sprintf("%016x-%016x%s", meta.Revision.Index, meta.Revision.Term, snapshotSuffix)
}

// startSnapshot makes a file with the header only.
func startSnapshot(fsys boragewick.FileSystem, name string, meta *boragewick.SnapshotMeta) (*storedSnapshot, error) {
	b, err := appendRecord(nil, snapshotSalt, meta)
	if err != nil {
		return nil, err
	}
	file, err := fsys.Create(name)
	if err != nil {
		return nil, err
	}
	if _, err := file.Write(b); err != nil {
		return nil, err
	}
	return &storedSnapshot{name: name, meta: *meta, file: file, header: int64(len(b))}, nil
}

// openSnapshot opens a snapshot file and returns the bytes that are there.
func openSnapshot(fsys boragewick.FileSystem, name string) (*storedSnapshot, []byte, error) {
	file, b, err := readFile(fsys, name)
	if err != nil {
		return nil, nil, err
	}
	s := &storedSnapshot{name: name, file: file}
	n, err := decodeRecord(b, snapshotSalt, &s.meta)
	if err != nil {
		return nil, nil, corrupt(name, 0, err.Error())
	}
	s.header = int64(n)
	return s, b[n:], nil
}

// whole checks the snapshot's bytes against its meta.
func (s *storedSnapshot) whole(data []byte) error {
	if uint64(len(data)) != s.meta.Size || xxhash.Sum64(data) != s.meta.Sum {
		return corrupt(s.name, int(s.header), "snapshot does not match its checksum")
	}
	return nil
}

// publish syncs the snapshot and gives it its lasting name.
func (s *storedSnapshot) publish(fsys boragewick.FileSystem) error {
	if err := s.file.Sync(); err != nil {
		return err
	}
	name := snapshotName(&s.meta)
	if err := fsys.Rename(s.name, name); err != nil {
		return err
	}
	s.name = name
	return fsys.Sync()
}

// loadSnapshots opens the stored snapshots, the newest first. It returns the
// bytes of the newest one.
func (d *Disk) loadSnapshots(names []string) ([]byte, error) {
	var data []byte
	for i := len(names) - 1; i >= 0; i-- {
		if !strings.HasSuffix(names[i], snapshotSuffix) {
			continue
		}
		s, b, err := openSnapshot(d.fsys, names[i])
		if err != nil {
			return nil, err
		}
		if len(d.snapshots) == 0 {
			data = b
			if err := s.whole(b); err != nil {
				return nil, err
			}
		}
		d.snapshots = append(d.snapshots, s)
	}
	return data, nil
}

// loadIncoming opens the snapshot whose transfer was cut off. It is dropped if
// its header is damaged.
func (d *Disk) loadIncoming() (*boragewick.SnapshotChunk, error) {
	s, data, err := openSnapshot(d.fsys, incomingName)
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, boragewick.ErrCorrupt) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	d.incoming = s
	return &boragewick.SnapshotChunk{Meta: s.meta, Offset: uint64(len(data))}, nil
}

// SaveSnapshot stores a snapshot of the replica's own state machine.
func (d *Disk) SaveSnapshot(meta boragewick.SnapshotMeta, data []byte) error {
	return d.sticky(func() error {
		s, err := startSnapshot(d.fsys, writtenName, &meta)
		if err != nil {
			return err
		}
		if _, err := s.file.Write(data); err != nil {
			return err
		}
		if err := s.publish(d.fsys); err != nil {
			return err
		}
		return d.keep(s)
	})
}

// keep makes the snapshot the newest one and removes what is no longer needed.
func (d *Disk) keep(s *storedSnapshot) error {
	d.snapshots = append([]*storedSnapshot{s}, d.snapshots...)
	for len(d.snapshots) > keptSnapshots {
		old := d.snapshots[len(d.snapshots)-1]
		d.snapshots = d.snapshots[:len(d.snapshots)-1]
		_ = old.file.Close()
		if err := d.fsys.Remove(old.name); err != nil {
			return err
		}
	}
	return d.removeSegments()
}

// ReadSnapshot fills p with the snapshot's bytes from the offset on.
func (d *Disk) ReadSnapshot(meta boragewick.SnapshotMeta, offset uint64, p []byte) error {
	for _, s := range d.snapshots {
		if !s.meta.Same(&meta) || len(p) == 0 {
			continue
		}
		if _, err := s.file.ReadAt(p, s.header+int64(offset)); err != nil {
			return errors.Mark(errors.Wrapf(err, "read %s", s.name), boragewick.ErrStorage)
		}
		return nil
	}
	if len(p) == 0 {
		return nil
	}
	return errors.Wrapf(boragewick.ErrStorage, "no snapshot of index %d", meta.Revision.Index)
}

// SaveChunk adds a chunk to the snapshot that is being received.
func (d *Disk) SaveChunk(c boragewick.SnapshotChunk) error {
	return d.sticky(func() error {
		if c.Offset == 0 {
			s, err := startSnapshot(d.fsys, incomingName, &c.Meta)
			if err != nil {
				return err
			}
			d.incoming = s
		}
		_, err := d.incoming.file.Write(c.Data)
		return err
	})
}

// InstallSnapshot makes the received snapshot the newest one.
func (d *Disk) InstallSnapshot(meta boragewick.SnapshotMeta) ([]byte, error) {
	var data []byte
	var damage error
	err := d.sticky(func() error {
		s := d.incoming
		d.incoming = nil
		var err error
		if _, data, err = openSnapshot(d.fsys, s.name); errors.Is(err, boragewick.ErrCorrupt) {
			damage = err
			return nil
		}
		if err != nil {
			return err
		}
		if damage = s.whole(data); damage != nil {
			return nil
		}
		if err := s.publish(d.fsys); err != nil {
			return err
		}
		if err := d.rebase(meta.Revision); err != nil {
			return err
		}
		return d.keep(s)
	})
	if err == nil {
		err = damage
	}
	return data, err
}
