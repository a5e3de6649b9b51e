package disk

import (
	"os"
	"slices"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	lockName   = "lock"
	folderMode = 0o700
	fileMode   = 0o600
)

// lockedFolder is a locked folder of the operating system's file system.
type lockedFolder struct {
	root *os.Root
	lock *os.File
}

// OpenFolder opens the folder at the path. It creates the folder if needed and
// locks it against other processes until the Disk over it is closed.
func OpenFolder(path string) (boragewick.FileSystem, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "create data folder"), boragewick.ErrStorage)
	}
	root, err := os.OpenRoot(path)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "open data folder"), boragewick.ErrStorage)
	}
	lock, err := root.OpenFile(lockName, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "open lock file"), boragewick.ErrStorage)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "data folder %s is in use", path), boragewick.ErrStorage)
	}
	return &lockedFolder{root: root, lock: lock}, nil
}

// osFile adds Size to a file of the operating system.
type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

func (f *lockedFolder) open(name string, flags int) (boragewick.File, error) {
	file, err := f.root.OpenFile(name, flags|os.O_RDWR|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{file}, nil
}

// Create creates a file or empties an existing one.
func (f *lockedFolder) Create(name string) (boragewick.File, error) {
	return f.open(name, os.O_CREATE|os.O_TRUNC)
}

// Open opens an existing file.
func (f *lockedFolder) Open(name string) (boragewick.File, error) {
	return f.open(name, 0)
}

// Rename renames a file and replaces an existing file of the new name.
func (f *lockedFolder) Rename(from, to string) error {
	return f.root.Rename(from, to)
}

func (f *lockedFolder) Remove(name string) error {
	return f.root.Remove(name)
}

// List returns the sorted names of all files except the lock file.
func (f *lockedFolder) List() ([]string, error) {
	dir, err := f.root.Open(".")
	if err != nil {
		return nil, err
	}
	defer dir.Close()
	names, err := dir.Readdirnames(-1)
	if err != nil {
		return nil, err
	}
	names = slices.DeleteFunc(names, func(name string) bool { return name == lockName })
	slices.Sort(names)
	return names, nil
}

// Sync makes creations, renames and removals durable.
func (f *lockedFolder) Sync() error {
	dir, err := f.root.Open(".")
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

// Close closes the folder and unlocks it for other processes.
func (f *lockedFolder) Close() error {
	return errors.CombineErrors(f.lock.Close(), f.root.Close())
}
