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
	// segmentMagic begins each segment and identifies the version of its format.
	segmentMagic = "boragewick log 1\n"
	// segmentBytes is the size above which a new segment is started.
	segmentBytes = 8 << 20
)

// segment is one file of the log.
type segment struct {
	number uint64
	// last is the highest index of the entries that the segment has held.
	last uint64
	size int64
	salt salt
	file boragewick.File
}

func segmentName(number uint64) string {
	return fmt.Sprintf("%016x%s", number, segmentSuffix)
}

// segmentNumber parses the number in a segment's file name.
func segmentNumber(name string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil
}

// createSegment creates a segment that begins with the record. The file gets its
// final name only after the record is synced.
func createSegment(fsys boragewick.FileSystem, number uint64, first *record) (*segment, error) {
	s := &segment{number: number}
	_, _ = rand.Read(s.salt[:]) // crypto/rand.Read never fails
	b := append([]byte(segmentMagic), s.salt[:]...)
	b, err := appendRecord(b, s.salt, first)
	if err != nil {
		return nil, err
	}
	if s.file, err = fsys.Create(stagingName); err != nil {
		return nil, err
	}
	if err := s.write(b); err != nil {
		return nil, err
	}
	if err := fsys.Rename(stagingName, segmentName(number)); err != nil {
		return nil, err
	}
	return s, fsys.Sync()
}

// write appends the bytes and syncs them.
func (s *segment) write(b []byte) error {
	if _, err := s.file.Write(b); err != nil {
		return err
	}
	s.size += int64(len(b))
	return s.file.Sync()
}

// readSegment reads a segment and passes each record to visit. A torn tail is
// truncated in the newest segment and gives ErrCorrupt in any other.
func readSegment(fsys boragewick.FileSystem, number uint64, newest bool, visit func(*segment, *record) error) (*segment, error) {
	name := segmentName(number)
	file, b, err := readFile(fsys, name)
	if err != nil {
		return nil, err
	}
	s := &segment{number: number, file: file}
	start := len(segmentMagic) + saltBytes
	if len(b) <= start || string(b[:len(segmentMagic)]) != segmentMagic {
		return s, corruptError(name, 0, "no segment header")
	}
	copy(s.salt[:], b[len(segmentMagic):start])
	offset := start
	for offset < len(b) {
		var r record
		n, err := decodeRecord(b[offset:], s.salt, &r)
		if errors.Is(err, errTorn) {
			return s, s.truncateTail(b, offset, newest && offset > start)
		}
		if err == nil {
			err = visit(s, &r)
		}
		if err != nil {
			return s, corruptError(name, offset, err.Error())
		}
		offset += n
	}
	s.size = int64(offset)
	return s, nil
}

// truncateTail drops everything from the offset on if no sync can have covered
// it, and returns ErrCorrupt otherwise.
func (s *segment) truncateTail(b []byte, offset int, allowed bool) error {
	if !allowed || containsRecord(b[offset+1:], s.salt) {
		return corruptError(segmentName(s.number), offset, "damaged record")
	}
	if err := s.file.Truncate(int64(offset)); err != nil {
		return err
	}
	s.size = int64(offset)
	return s.file.Sync()
}

// corruptError returns ErrCorrupt with the position of the damage.
func corruptError(name string, offset int, text string) error {
	return errors.Wrapf(boragewick.ErrCorrupt, "file %s, offset %d: %s", name, offset, text)
}

// readFile opens the file and returns it with its content.
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
