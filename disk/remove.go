package disk

import "github.com/boragewick/boragewick"

// removeSegments removes the oldest segments once the snapshot before the
// newest one covers them.
func (d *Disk) removeSegments() error {
	oldest := d.snapshots[len(d.snapshots)-1].meta.Revision
	if len(d.snapshots) < retainedSnapshots {
		return nil
	}
	n := 0
	for n < len(d.segments)-1 && d.segments[n].last <= oldest.Index {
		n++
	}
	if n == 0 {
		return nil
	}
	if err := d.advanceBase(oldest); err != nil {
		return err
	}
	for _, s := range d.segments[:n] {
		_ = s.file.Close()
		if err := d.fsys.Remove(segmentName(s.number)); err != nil {
			return err
		}
	}
	d.segments = d.segments[n:]
	return d.fsys.Sync()
}

// advanceBase drops the entries up to the revision from memory.
func (d *Disk) advanceBase(r boragewick.Revision) error {
	if r.Index <= d.base.Index || d.revisionAt(r.Index) != r {
		return nil
	}
	d.revisions = append([]boragewick.Revision(nil), d.revisions[r.Index-d.base.Index:]...)
	d.base = r
	return nil
}
