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
	// FirstIdentity is the identity that a new folder gets; empty takes a random
	// one. It must be known to nobody but the founders of a group.
	FirstIdentity boragewick.Identity

	fsys boragewick.FileSystem
	// limit is the size in bytes after which a new segment is begun.
	limit int64
	// err is the failure after which nothing is stored any more.
	err  error
	hard boragewick.HardState
	// base is the entry before the first one that is stored. Its term is known
	// only if it is based on a record.
	base      boragewick.Revision
	based     bool
	entries   []boragewick.Revision
	loaded    []boragewick.LogEntry
	segments  []*segment
	snapshots []*storedSnapshot
	incoming  *storedSnapshot
}

// New returns the storage over the folder.
func New(fsys boragewick.FileSystem) *Disk {
	return &Disk{fsys: fsys, limit: segmentBytes}
}

// sticky runs a write unless an earlier one failed, and remembers its failure.
func (d *Disk) sticky(write func() error) error {
	if d.err != nil {
		return d.err
	}
	err := write()
	if err != nil && !errors.Is(err, boragewick.ErrCorrupt) {
		err = errors.Mark(errors.Wrap(err, "storage"), boragewick.ErrStorage)
	}
	d.err = err
	return err
}

// Load reads all files. It makes the identity of a new folder, cuts a torn
// tail and returns ErrCorrupt for any other damage.
func (d *Disk) Load() (boragewick.StoredLog, error) {
	var s boragewick.StoredLog
	err := d.sticky(func() error { return d.load(&s) })
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
	if s.Identity, err = d.identity(); err != nil {
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
	if err := d.join(s.Snapshot.Revision); err != nil {
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

// identity reads the identity.
func (d *Disk) identity() (boragewick.Identity, error) {
	file, b, err := readFile(d.fsys, identityName)
	if err != nil {
		return "", err
	}
	var id boragewick.Identity
	if _, err := decodeRecord(b, snapshotSalt, &id); err != nil || id == "" {
		return "", corrupt(identityName, 0, "no identity")
	}
	return id, file.Close()
}

// initialise makes an empty log and then, as the last thing, the identity. It
// refuses a folder in which more was stored before.
func (d *Disk) initialise(names []string) error {
	for _, name := range names {
		if name != writtenName && name != segmentName(1) {
			return corrupt(identityName, 0, "missing beside "+name)
		}
	}
	if slices.Contains(names, segmentName(1)) {
		if _, err := readSegment(d.fsys, 1, false, refuseUsed); err != nil {
			return err
		}
	}
	first := &record{Hard: &d.hard, Base: &d.base}
	s, err := createSegment(d.fsys, 1, first)
	if err != nil {
		return err
	}
	return errors.CombineErrors(s.file.Close(), d.makeIdentity())
}

// refuseUsed fails for records that only a log in use has.
func refuseUsed(_ *segment, r *record) error {
	if len(r.Entries) > 0 || r.Hard != nil && r.Hard.Term > 0 {
		return errors.New("log without identity")
	}
	return nil
}

func (d *Disk) makeIdentity() error {
	identity := d.FirstIdentity
	if identity == "" {
		identity = boragewick.NewIdentity()
	}
	b, err := appendRecord(nil, snapshotSalt, identity)
	if err != nil {
		return err
	}
	file, err := d.fsys.Create(writtenName)
	if err != nil {
		return err
	}
	if _, err := file.Write(b); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	if err := d.fsys.Rename(writtenName, identityName); err != nil {
		return err
	}
	return errors.CombineErrors(file.Close(), d.fsys.Sync())
}

// loadSegments replays the log and opens a segment for appending.
func (d *Disk) loadSegments(names []string) error {
	var numbers []uint64
	for _, name := range names {
		if number, ok := segmentNumber(name); ok {
			numbers = append(numbers, number)
		}
	}
	if len(numbers) == 0 || numbers[0] > 1 && len(d.snapshots) == 0 {
		return corrupt(segmentName(1), 0, "segment missing")
	}
	for i, number := range numbers {
		if number != numbers[0]+uint64(i) {
			return corrupt(segmentName(numbers[0]+uint64(i)), 0, "segment missing")
		}
		s, err := readSegment(d.fsys, number, i == len(numbers)-1, d.replay)
		if err != nil {
			return err
		}
		d.segments = append(d.segments, s)
	}
	return nil
}

// replay takes in one record of a segment.
func (d *Disk) replay(s *segment, r *record) error {
	if r.Hard != nil {
		d.hard = *r.Hard
	}
	if r.Base != nil {
		d.base, d.based = *r.Base, true
		d.entries, d.loaded = nil, nil
	}
	if len(r.Entries) == 0 {
		return nil
	}
	d.float(r.Entries[0].Revision.Index)
	if err := d.place(s, r.Entries); err != nil {
		return err
	}
	d.loaded = append(d.loaded[:r.Entries[0].Revision.Index-d.base.Index-1], r.Entries...)
	return nil
}

// float moves the base of a log whose oldest segments were removed to the
// entry before the first one that is there.
func (d *Disk) float(first uint64) {
	if d.based || len(d.entries) > 0 && first > d.base.Index {
		return
	}
	d.base = boragewick.Revision{Index: first - 1}
	d.entries, d.loaded = nil, nil
}

// place notes the revisions of entries and where they are.
func (d *Disk) place(s *segment, entries []boragewick.LogEntry) error {
	first := entries[0].Revision.Index
	next := d.base.Index + uint64(len(d.entries)) + 1
	if first <= d.base.Index || first > next {
		return errors.Newf("entry %d cannot follow entry %d", first, next-1)
	}
	d.entries = d.entries[:first-d.base.Index-1]
	for i, e := range entries {
		if e.Revision.Index != first+uint64(i) {
			return errors.Newf("entry %d where %d must stand", e.Revision.Index, first+uint64(i))
		}
		d.entries = append(d.entries, e.Revision)
	}
	s.last = max(s.last, entries[len(entries)-1].Revision.Index)
	return nil
}

// join makes sure that the log continues the snapshot.
func (d *Disk) join(r boragewick.Revision) error {
	if r.Index < d.base.Index {
		return corrupt(segmentName(d.segments[0].number), 0, "log begins after the snapshot")
	}
	if r.Index == d.base.Index && !d.based {
		d.base = r
	}
	if d.revision(r.Index) != r {
		d.loaded = nil
	}
	return d.rebase(r)
}

// revision returns the stored entry's revision or zero.
func (d *Disk) revision(index uint64) boragewick.Revision {
	switch {
	case index == d.base.Index:
		return d.base
	case index < d.base.Index || index > d.base.Index+uint64(len(d.entries)):
		return boragewick.Revision{}
	}
	return d.entries[index-d.base.Index-1]
}

// rebase drops the log if it does not hold the snapshot's last entry.
func (d *Disk) rebase(r boragewick.Revision) error {
	if d.revision(r.Index) == r {
		return nil
	}
	d.base, d.entries = r, nil
	return d.write(&record{Hard: &d.hard, Base: &r})
}

// Save stores the hard state and the entries and syncs them.
func (d *Disk) Save(h *boragewick.HardState, entries []boragewick.LogEntry) error {
	if h == nil && len(entries) == 0 {
		return d.err
	}
	return d.sticky(func() error {
		if h != nil {
			d.hard = *h
		}
		if err := d.write(&record{Hard: h, Entries: entries}); err != nil {
			return err
		}
		if len(entries) == 0 {
			return nil
		}
		return d.place(d.segments[len(d.segments)-1], entries)
	})
}

// write adds a record to the newest segment, or to a new one if that is full.
func (d *Disk) write(r *record) error {
	s := d.segments[len(d.segments)-1]
	b, err := appendRecord(nil, s.salt, r)
	if err != nil {
		return err
	}
	if s.size+int64(len(b)) <= d.limit {
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

// roll begins a segment. Its first record holds the hard state.
func (d *Disk) roll(number uint64) error {
	s, err := createSegment(d.fsys, number, &record{Hard: &d.hard})
	if err != nil {
		return err
	}
	d.segments = append(d.segments, s)
	return nil
}

// Close closes all files. What was saved is on the disk already.
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
