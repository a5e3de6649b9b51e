package disk

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// FuzzLoad replaces the part of a segment after its first record. Load must
// return a log without gaps or fail with ErrCorrupt.
func FuzzLoad(f *testing.F) {
	whole := newTestLog(f).files[segmentName(1)].data
	offsets := recordEnds(f, whole)
	f.Add(whole[offsets[1]:], uint16(0))
	f.Add(whole[offsets[1]:len(whole)-3], uint16(0))
	f.Add(bytes.Repeat(whole[offsets[2]:], 2), uint16(0))
	f.Add(whole[offsets[1]:], uint16(offsets[3]-offsets[1]+markerBytes))
	f.Fuzz(func(t *testing.T, tail []byte, flip uint16) {
		m := newTestLog(t)
		file := m.files[segmentName(1)]
		key := file.data[len(segmentMagic) : len(segmentMagic)+saltBytes]
		tail = withSalt(whole, tail, salt(key))
		if int(flip) < len(tail) {
			tail[flip] ^= byte(flip>>8) | 1
		}
		file.data = append(file.data[:offsets[1]:offsets[1]], tail...)
		s, err := New(m).Load()
		if err != nil {
			if !errors.Is(err, boragewick.ErrCorrupt) {
				t.Errorf("error %v", err)
			}
			return
		}
		for i, e := range s.Entries {
			if e.Revision.Index != s.Snapshot.Revision.Index+uint64(i)+1 {
				t.Errorf("entry %d at position %d", e.Revision.Index, i)
			}
		}
	})
}

// withSalt re-encodes the records at the start of the tail, which have the salt
// of the file whole, with another salt.
func withSalt(whole, tail []byte, to salt) []byte {
	from := salt(whole[len(segmentMagic) : len(segmentMagic)+saltBytes])
	var b []byte
	for {
		payload, err := framePayload(tail, from)
		if err != nil {
			return append(b, tail...)
		}
		b = appendFrame(b, to, payload)
		tail = tail[headerBytes+len(payload):]
	}
}

// FuzzRecord checks that a decoded record can be encoded and decoded again.
func FuzzRecord(f *testing.F) {
	b, err := appendRecord(nil, snapshotSalt, &record{Entries: testEntries(1, 1, 2)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b[headerBytes:])
	f.Fuzz(func(t *testing.T, payload []byte) {
		var r, again record
		if _, err := decodeRecord(appendFrame(nil, snapshotSalt, payload), snapshotSalt, &r); err != nil {
			return
		}
		b, err := appendRecord(nil, snapshotSalt, &r)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeRecord(b, snapshotSalt, &again); err != nil {
			t.Fatal(err)
		}
	})
}
