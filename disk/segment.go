package disk

import (
	"crypto/rand"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	segmentSuffix = ".log"
	// segmentMagic starts each segment and tells the version of its format.
	segmentMagic = "boragewick log 1\n"
	// segmentBytes is the size after which a new segment is begun.
	segmentBytes = 8 << 20
)

// segment is one file of the log.
type segment struct {
	number uint64
	// last is the newest entry that the segment has held.
	last uint64
	size int64
	salt salt
	file boragewick.File
}

// segmentName returns the file name of the segment.
func segmentName(number uint64) string {
	return fmt.Sprintf("%016x%s", number, segmentSuffix)
}

// segmentNumber returns the number in a segment's file name.
func segmentNumber(name string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil
}

// createSegment makes a segment that begins with the record. It gets its name
// only once that is synced.
func createSegment(fsys boragewick.FileSystem, number uint64, first *record) (*segment, error) {
	s := &segment{number: number}
	_, _ = rand.Read(s.salt[:]) // crypto/rand.Read never fails
	b := append([]byte(segmentMagic), s.salt[:]...)
	b, err := appendRecord(b, s.salt, first)
	if err != nil {
		return nil, err
	}
	if s.file, err = fsys.Create(writtenName); err != nil {
		return nil, err
	}
	if err := s.write(b); err != nil {
		return nil, err
	}
	if err := fsys.Rename(writtenName, segmentName(number)); err != nil {
		return nil, err
	}
	return s, fsys.Sync()
}

// write adds the bytes and syncs them.
func (s *segment) write(b []byte) error {
	if _, err := s.file.Write(b); err != nil {
		return err
	}
	s.size += int64(len(b))
	return s.file.Sync()
}

// readSegment reads a segment and hands each record to visit. A torn tail is
// cut when the segment is the newest one and otherwise ErrCorrupt.
func readSegment(fsys boragewick.FileSystem, number uint64, newest bool, visit func(*segment, *record) error) (*segment, error) {
	name := segmentName(number)
	file, b, err := readFile(fsys, name)
	if err != nil {
		return nil, err
	}
	s := &segment{number: number, file: file}
	start := len(segmentMagic) + saltBytes
	if len(b) <= start || string(b[:len(segmentMagic)]) != segmentMagic {
		return s, corrupt(name, 0, "no segment header")
	}
	copy(s.salt[:], b[len(segmentMagic):start])
	at := start
	for at < len(b) {
		var r record
		n, err := decodeRecord(b[at:], s.salt, &r)
		if errors.Is(err, errTorn) {
			return s, s.cut(b, at, newest && at > start)
		}
		if err == nil {
			err = visit(s, &r)
		}
		if err != nil {
			return s, corrupt(name, at, err.Error())
		}
		at += n
	}
	s.size = int64(at)
	return s, nil
}

// cut drops what follows the offset if no sync can have covered it.
func (s *segment) cut(b []byte, at int, allowed bool) error {
	if !allowed || holdsRecord(b[at+1:], s.salt) {
		return corrupt(segmentName(s.number), at, "damaged record")
	}
	if err := s.file.Truncate(int64(at)); err != nil {
		return err
	}
	s.size = int64(at)
	return s.file.Sync()
}

// corrupt returns ErrCorrupt with the place of the damage.
func corrupt(name string, offset int, text string) error {
	return errors.Wrapf(boragewick.ErrCorrupt, "file %s, offset %d: %s", name, offset, text)
}

// readFile opens the file and reads all of it.
func readFile(fsys boragewick.FileSystem, name string) (boragewick.File, []byte, error) {
	file, err := fsys.Open(name)
	if err != nil {
		return nil, nil, err
	}
	size, err := file.Size()
	if err != nil {
		return nil, nil, err
	}
	b := make([]byte, size)
	if n, err := file.ReadAt(b, 0); err != nil && (!errors.Is(err, io.EOF) || n < len(b)) {
		return nil, nil, err
	}
	return file, b, nil
}
