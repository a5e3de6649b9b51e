// Package disk keeps the log, hard state and snapshots of a control replica in
// the files of one folder.
package disk

import (
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const identityName = "identity"

// Disk is a boragewick.Storage over a folder. It is used from one goroutine.
type Disk struct {
	// FirstIdentity is the identity that a new folder gets; if it is empty, a
	// random one is used. It must be known only to the initial voters of a group.
	FirstIdentity boragewick.Identity

	fsys boragewick.FileSystem
	// segmentLimit is the size in bytes above which a new segment is started.
	segmentLimit int64
	// err is the first failure. Nothing is stored after it.
	err  error
	hard boragewick.HardState
	// base is the entry before the first stored one. Its term is certain only if
	// it was read from a record (baseRecorded).
	base         boragewick.Revision
	baseRecorded bool
	revisions    []boragewick.Revision
	loaded       []boragewick.LogEntry
	segments     []*segment
	snapshots    []*snapshotFile
	incoming     *snapshotFile
}

// New returns the storage over the folder.
func New(fsys boragewick.FileSystem) *Disk {
	return &Disk{fsys: fsys, segmentLimit: segmentBytes}
}

// withStickyError runs the operation unless an earlier one failed. All later
// operations return the error of the one that failed.
func (d *Disk) withStickyError(operation func() error) error {
	if d.err != nil {
		return d.err
	}
	err := operation()
	if err != nil && !errors.Is(err, boragewick.ErrCorrupt) {
		err = errors.Mark(errors.Wrap(err, "storage"), boragewick.ErrStorage)
	}
	d.err = err
	return err
}

// Load reads all files. It creates the identity of a new folder, truncates a
// torn tail and returns ErrCorrupt for any other damage.
func (d *Disk) Load() (boragewick.StoredLog, error) {
	var s boragewick.StoredLog
	err := d.withStickyError(func() error { return d.load(&s) })
	return s, err
}

func (d *Disk) load(s *boragewick.StoredLog) error {
	names, err := d.fsys.List()
	if err != nil {
		return err
	}
	if !slices.Contains(names, identityName) {
		if err := d.initialise(names); err != nil {
			return err
		}
		names = []string{identityName, segmentName(1)}
	}
	if s.Identity, err = d.readIdentity(); err != nil {
		return err
	}
	if s.Data, err = d.loadSnapshots(names); err != nil {
		return err
	}
	if len(d.snapshots) > 0 {
		s.Snapshot = d.snapshots[0].meta
	}
	if err := d.loadSegments(names); err != nil {
		return err
	}
	if err := d.alignWithSnapshot(s.Snapshot.Revision); err != nil {
		return err
	}
	if s.Incoming, err = d.loadIncoming(); err != nil {
		return err
	}
	s.Hard = d.hard
	s.Entries = d.loaded[s.Snapshot.Revision.Index-d.base.Index:]
	d.loaded = nil
	return nil
}

func (d *Disk) readIdentity() (boragewick.Identity, error) {
	file, b, err := readFile(d.fsys, identityName)
	if err != nil {
		return "", err
	}
	var id boragewick.Identity
	if _, err := decodeRecord(b, snapshotSalt, &id); err != nil || id == "" {
		return "", corruptError(identityName, 0, "no valid identity")
	}
	return id, file.Close()
}

// initialise creates an empty log and, as the last step, the identity. It
// refuses a folder in which more was stored before.
func (d *Disk) initialise(names []string) error {
	for _, name := range names {
		if name != stagingName && name != segmentName(1) {
			return corruptError(identityName, 0, "missing, but the folder contains "+name)
		}
	}
	if slices.Contains(names, segmentName(1)) {
		if _, err := readSegment(d.fsys, 1, false, rejectUsedLog); err != nil {
			return err
		}
	}
	first := &record{Hard: &d.hard, Base: &d.base}
	s, err := createSegment(d.fsys, 1, first)
	if err != nil {
		return err
	}
	return errors.CombineErrors(s.file.Close(), d.createIdentity())
}

// rejectUsedLog returns an error for records that only a log in use contains:
// entries, or a hard state with a term.
func rejectUsedLog(_ *segment, r *record) error {
	if len(r.Entries) > 0 || r.Hard != nil && r.Hard.Term > 0 {
		return errors.New("log is in use, but the identity is missing")
	}
	return nil
}

func (d *Disk) createIdentity() error {
	identity := d.FirstIdentity
	if identity == "" {
		identity = boragewick.NewIdentity()
	}
	b, err := appendRecord(nil, snapshotSalt, identity)
	if err != nil {
		return err
	}
	file, err := d.fsys.Create(stagingName)
	if err != nil {
		return err
	}
	if _, err := file.Write(b); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	if err := d.fsys.Rename(stagingName, identityName); err != nil {
		return err
	}
	return errors.CombineErrors(file.Close(), d.fsys.Sync())
}

// loadSegments replays the segments in order and opens the newest one for
// appending.
func (d *Disk) loadSegments(names []string) error {
	var numbers []uint64
	for _, name := range names {
		if number, ok := segmentNumber(name); ok {
			numbers = append(numbers, number)
		}
	}
	if len(numbers) == 0 || numbers[0] > 1 && len(d.snapshots) == 0 {
		return corruptError(segmentName(1), 0, "segment missing")
	}
	for i, number := range numbers {
		if number != numbers[0]+uint64(i) {
			return corruptError(segmentName(numbers[0]+uint64(i)), 0, "segment missing")
		}
		s, err := readSegment(d.fsys, number, i == len(numbers)-1, d.replay)
		if err != nil {
			return err
		}
		d.segments = append(d.segments, s)
	}
	return nil
}

// replay applies one record of a segment to the state in memory.
func (d *Disk) replay(s *segment, r *record) error {
	if r.Hard != nil {
		d.hard = *r.Hard
	}
	if r.Base != nil {
		d.base, d.baseRecorded = *r.Base, true
		d.revisions, d.loaded = nil, nil
	}
	if len(r.Entries) == 0 {
		return nil
	}
	d.inferBase(r.Entries[0].Revision.Index)
	if err := d.indexEntries(s, r.Entries); err != nil {
		return err
	}
	d.loaded = append(d.loaded[:r.Entries[0].Revision.Index-d.base.Index-1], r.Entries...)
	return nil
}

// inferBase sets the base of a log whose oldest segments were removed to the
// entry before the first stored one.
func (d *Disk) inferBase(first uint64) {
	if d.baseRecorded || len(d.revisions) > 0 && first > d.base.Index {
		return
	}
	d.base = boragewick.Revision{Index: first - 1}
	d.revisions, d.loaded = nil, nil
}

// indexEntries records the revisions of the entries and that the segment holds
// them.
func (d *Disk) indexEntries(s *segment, entries []boragewick.LogEntry) error {
	first := entries[0].Revision.Index
	next := d.base.Index + uint64(len(d.revisions)) + 1
	if first <= d.base.Index || first > next {
		return errors.Newf("entry %d cannot follow entry %d", first, next-1)
	}
	d.revisions = d.revisions[:first-d.base.Index-1]
	for i, e := range entries {
		if e.Revision.Index != first+uint64(i) {
			return errors.Newf("entry %d where %d must stand", e.Revision.Index, first+uint64(i))
		}
		d.revisions = append(d.revisions, e.Revision)
	}
	s.last = max(s.last, entries[len(entries)-1].Revision.Index)
	return nil
}

// alignWithSnapshot ensures that the log continues from the snapshot.
func (d *Disk) alignWithSnapshot(r boragewick.Revision) error {
	if r.Index < d.base.Index {
		return corruptError(segmentName(d.segments[0].number), 0, "gap between the snapshot and the first log entry")
	}
	if r.Index == d.base.Index && !d.baseRecorded {
		d.base = r
	}
	if d.revisionAt(r.Index) != r {
		d.loaded = nil
	}
	return d.rebase(r)
}

// revisionAt returns the revision of the stored entry at the index, or zero.
func (d *Disk) revisionAt(index uint64) boragewick.Revision {
	switch {
	case index == d.base.Index:
		return d.base
	case index < d.base.Index || index > d.base.Index+uint64(len(d.revisions)):
		return boragewick.Revision{}
	}
	return d.revisions[index-d.base.Index-1]
}

// rebase discards the log if it does not contain the snapshot's last entry.
func (d *Disk) rebase(r boragewick.Revision) error {
	if d.revisionAt(r.Index) == r {
		return nil
	}
	d.base, d.revisions = r, nil
	return d.write(&record{Hard: &d.hard, Base: &r})
}

// Save appends the hard state and the entries to the log and syncs it.
func (d *Disk) Save(h *boragewick.HardState, entries []boragewick.LogEntry) error {
	if h == nil && len(entries) == 0 {
		return d.err
	}
	return d.withStickyError(func() error {
		if h != nil {
			d.hard = *h
		}
		if err := d.write(&record{Hard: h, Entries: entries}); err != nil {
			return err
		}
		if len(entries) == 0 {
			return nil
		}
		return d.indexEntries(d.segments[len(d.segments)-1], entries)
	})
}

// write appends a record to the newest segment, or to a new one if that is full.
func (d *Disk) write(r *record) error {
	s := d.segments[len(d.segments)-1]
	b, err := appendRecord(nil, s.salt, r)
	if err != nil {
		return err
	}
	if s.size+int64(len(b)) <= d.segmentLimit {
		return s.write(b)
	}
	if err := d.roll(s.number + 1); err != nil {
		return err
	}
	s = d.segments[len(d.segments)-1]
	if b, err = appendRecord(nil, s.salt, r); err != nil {
		return err
	}
	return s.write(b)
}

// roll starts a new segment, whose first record holds the hard state.
func (d *Disk) roll(number uint64) error {
	s, err := createSegment(d.fsys, number, &record{Hard: &d.hard})
	if err != nil {
		return err
	}
	d.segments = append(d.segments, s)
	return nil
}

// Close closes all files. Saved data is already synced.
func (d *Disk) Close() error {
	var err error
	for _, s := range d.segments {
		err = errors.CombineErrors(err, s.file.Close())
	}
	for _, s := range d.snapshots {
		err = errors.CombineErrors(err, s.file.Close())
	}
	if d.err == nil {
		d.err = errors.Wrap(boragewick.ErrStorage, "closed")
	}
	if closer, ok := d.fsys.(io.Closer); ok {
		err = errors.CombineErrors(err, closer.Close())
	}
	return err
}
