package disk

import "github.com/boragewick/boragewick"

// removeSegments removes the oldest segments once the snapshot before the
// newest one covers them.
func (d *Disk) removeSegments() error {
	oldest := d.snapshots[len(d.snapshots)-1].meta.Revision
	if len(d.snapshots) < keptSnapshots {
		return nil
	}
	n := 0
	for n < len(d.segments)-1 && d.segments[n].last <= oldest.Index {
		n++
	}
	if n == 0 {
		return nil
	}
	if err := d.markBase(oldest); err != nil {
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

// markBase forgets the entries up to the revision.
func (d *Disk) markBase(r boragewick.Revision) error {
	if r.Index <= d.base.Index || d.revision(r.Index) != r {
		return nil
	}
	d.entries = append([]boragewick.Revision(nil), d.entries[r.Index-d.base.Index:]...)
	d.base = r
	return nil
}
