package claims

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/boragewick/boragewick"
)

// snapshot is the stored form of Claims. Records are in order of expiry.
type snapshot struct {
	Now     time.Time                `cbor:"now"`
	Records []boragewick.ClaimRecord `cbor:"records"`
}

// encoding keeps times to the nanosecond.
var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Snapshot returns all records in CBOR, the same bytes on every replica that
// has applied the same commands.
func (c *Claims) Snapshot() ([]byte, error) {
	s := snapshot{Now: c.now, Records: make([]boragewick.ClaimRecord, 0, len(c.records))}
	if c.byExpiry != nil {
		for e := c.byExpiry.Front(); e != nil; e = e.Next() {
			s.Records = append(s.Records, e.Value.(*record).ClaimRecord)
		}
	}
	data, err := encoding.Marshal(s)
	return data, errors.Wrap(err, "encode claims")
}

// Restore replaces all records with those of a snapshot, or changes nothing and
// returns ErrCorrupt.
func (c *Claims) Restore(data []byte) error {
	var s snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return errors.Mark(errors.Wrap(err, "decode claims"), boragewick.ErrCorrupt)
	}
	restored := Claims{MaxBytes: c.MaxBytes, now: s.Now}
	for _, r := range s.Records {
		restored.insert(&record{ClaimRecord: r})
	}
	*c = restored
	return nil
}
