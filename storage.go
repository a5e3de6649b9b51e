package boragewick

import "io"

// Storage keeps a replica's log, hard state and snapshots. After a failed
// write or sync every method returns ErrStorage from then on.
type Storage interface {
	// Load returns all that is stored. It is called once, before the others.
	Load() (StoredLog, error)
	// Save stores the hard state, if it is not nil, and the entries. They
	// replace stored ones from the first one's index on. Save returns once
	// all of it is synced.
	Save(h *HardState, entries []LogEntry) error
	// SaveSnapshot stores a snapshot of the replica's own state machine.
	SaveSnapshot(meta SnapshotMeta, data []byte) error
	// ReadSnapshot fills p with the snapshot's bytes from the offset on. The
	// newest snapshot and the one before it can be read.
	ReadSnapshot(meta SnapshotMeta, offset uint64, p []byte) error
	// SaveChunk adds a chunk to the snapshot that is being received. A chunk
	// at offset 0 restarts it.
	SaveChunk(c SnapshotChunk) error
	// InstallSnapshot makes the received snapshot the newest one, drops
	// entries that it covers or contradicts and returns its bytes. It returns
	// ErrCorrupt and discards the chunks if they do not match the meta.
	InstallSnapshot(meta SnapshotMeta) ([]byte, error)
	Close() error
}

// SnapshotMeta describes a snapshot.
type SnapshotMeta struct {
	// Revision is the last entry that the snapshot covers.
	Revision   Revision   `cbor:"revision"`
	Membership Membership `cbor:"membership"`
	// Size is the number of bytes and Sum their xxHash64.
	Size uint64 `cbor:"size"`
	Sum  uint64 `cbor:"sum"`
}

// Same reports whether both describe the same bytes.
func (m *SnapshotMeta) Same(other *SnapshotMeta) bool {
	return m.Revision == other.Revision && m.Size == other.Size && m.Sum == other.Sum
}

// SnapshotChunk is a part of a snapshot in transfer.
type SnapshotChunk struct {
	Meta   SnapshotMeta `cbor:"meta"`
	Offset uint64       `cbor:"offset"`
	Data   []byte       `cbor:"data,omitempty"`
	// Sum is the xxHash64 of Data.
	Sum uint64 `cbor:"sum,omitempty"`
}

// StoredLog is what a Storage holds when it is opened.
type StoredLog struct {
	Identity Identity
	Hard     HardState
	// Snapshot is the newest snapshot; its Revision is zero without one.
	Snapshot SnapshotMeta
	// Data are the bytes of the newest snapshot.
	Data []byte
	// Entries follow the snapshot without a gap.
	Entries []LogEntry
	// Incoming is a snapshot whose transfer was interrupted; its Offset is the
	// number of bytes received.
	Incoming *SnapshotChunk
}

// FileSystem is a single directory of files.
type FileSystem interface {
	// Create creates an empty file or truncates the existing one.
	Create(name string) (File, error)
	// Open opens an existing file or returns an error that matches fs.ErrNotExist.
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of all files in order.
	List() ([]string, error)
	// Sync makes creations, renames and removals durable.
	Sync() error
}

// File is an open file. Writes append to it.
type File interface {
	io.Writer
	io.ReaderAt
	io.Closer
	Size() (int64, error)
	Truncate(size int64) error
	// Sync makes the written bytes durable.
	Sync() error
}
