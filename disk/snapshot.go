package disk

import (
	"fmt"
	"io/fs"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// A snapshot file consists of a record with the SnapshotMeta, followed by the
// bytes of the snapshot.
const (
	snapshotSuffix  = ".snapshot"
	temporarySuffix = ".temporary"
	incomingName    = "incoming" + temporarySuffix
	stagingName     = "written" + temporarySuffix
	// retainedSnapshots is the number of snapshots kept: the newest one and the
	// one before it.
	retainedSnapshots = 2
)

// snapshotSalt distinguishes snapshot files of this format from other files.
var snapshotSalt = salt([]byte("boragewick snap1"))

// snapshotFile is an open snapshot file.
type snapshotFile struct {
	name       string
	meta       boragewick.SnapshotMeta
	file       boragewick.File
	headerSize int64
}

// snapshotName returns a file name that sorts by index.
func snapshotName(meta *boragewick.SnapshotMeta) string {
	return fmt.Sprintf("%016x-%016x%s", meta.Revision.Index, meta.Revision.Term, snapshotSuffix)
}

// startSnapshot creates a snapshot file that contains only the header.
func startSnapshot(fsys boragewick.FileSystem, name string, meta *boragewick.SnapshotMeta) (*snapshotFile, error) {
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
	return &snapshotFile{name: name, meta: *meta, file: file, headerSize: int64(len(b))}, nil
}

// openSnapshot opens a snapshot file and returns the bytes after its header.
func openSnapshot(fsys boragewick.FileSystem, name string) (*snapshotFile, []byte, error) {
	file, b, err := readFile(fsys, name)
	if err != nil {
		return nil, nil, err
	}
	s := &snapshotFile{name: name, file: file}
	n, err := decodeRecord(b, snapshotSalt, &s.meta)
	if err != nil {
		return nil, nil, corruptError(name, 0, err.Error())
	}
	s.headerSize = int64(n)
	return s, b[n:], nil
}

// verify checks the size and checksum of the data against the snapshot's meta.
func (s *snapshotFile) verify(data []byte) error {
	if uint64(len(data)) != s.meta.Size || xxhash.Sum64(data) != s.meta.Sum {
		return corruptError(s.name, int(s.headerSize), "snapshot does not match its checksum")
	}
	return nil
}

// publish syncs the snapshot and gives it its final name.
func (s *snapshotFile) publish(fsys boragewick.FileSystem) error {
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

// loadSnapshots opens the stored snapshots, newest first, and returns the bytes
// of the newest one.
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
			if err := s.verify(b); err != nil {
				return nil, err
			}
		}
		d.snapshots = append(d.snapshots, s)
	}
	return data, nil
}

// loadIncoming opens a snapshot whose transfer was interrupted. It is ignored if
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
	return d.withStickyError(func() error {
		s, err := startSnapshot(d.fsys, stagingName, &meta)
		if err != nil {
			return err
		}
		if _, err := s.file.Write(data); err != nil {
			return err
		}
		if err := s.publish(d.fsys); err != nil {
			return err
		}
		return d.retainSnapshot(s)
	})
}

// retainSnapshot makes the snapshot the newest one and removes snapshots and
// segments that are no longer needed.
func (d *Disk) retainSnapshot(s *snapshotFile) error {
	d.snapshots = append([]*snapshotFile{s}, d.snapshots...)
	for len(d.snapshots) > retainedSnapshots {
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
		if _, err := s.file.ReadAt(p, s.headerSize+int64(offset)); err != nil {
			return errors.Mark(errors.Wrapf(err, "read %s", s.name), boragewick.ErrStorage)
		}
		return nil
	}
	if len(p) == 0 {
		return nil
	}
	return errors.Wrapf(boragewick.ErrStorage, "no snapshot of index %d", meta.Revision.Index)
}

// SaveChunk appends a chunk to the snapshot that is being received.
func (d *Disk) SaveChunk(c boragewick.SnapshotChunk) error {
	return d.withStickyError(func() error {
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
	var corruption error
	err := d.withStickyError(func() error {
		s := d.incoming
		d.incoming = nil
		var err error
		if _, data, err = openSnapshot(d.fsys, s.name); errors.Is(err, boragewick.ErrCorrupt) {
			corruption = err
			return nil
		}
		if err != nil {
			return err
		}
		if corruption = s.verify(data); corruption != nil {
			return nil
		}
		if err := s.publish(d.fsys); err != nil {
			return err
		}
		if err := d.rebase(meta.Revision); err != nil {
			return err
		}
		return d.retainSnapshot(s)
	})
	if err == nil {
		err = corruption
	}
	return data, err
}
