package certs

import (
	"encoding/pem"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// checkNew makes the folder and checks that it holds no authority.
func checkNew(dir string) error {
	if err := os.MkdirAll(dir, modeDir); err != nil {
		return errors.Mark(errors.Wrap(err, "make the folder"), boragewick.ErrStorage)
	}
	for _, name := range []string{AuthorityFile, AuthorityKeyFile} {
		_, err := os.Lstat(filepath.Join(dir, name))
		if err == nil {
			return errors.Wrapf(boragewick.ErrNameTaken, "the folder holds %s already", name)
		}
		if !errors.Is(err, fs.ErrNotExist) {
			return errors.Mark(errors.Wrap(err, "look into the folder"), boragewick.ErrStorage)
		}
	}
	return nil
}

// readFile returns the one PEM block of a file.
func readFile(path, kind string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, badFile(path, err)
	}
	block, _ := pem.Decode(b)
	if block == nil || block.Type != kind {
		return nil, errors.Wrapf(boragewick.ErrBadSettings, "%s has no PEM block %q", path, kind)
	}
	return block.Bytes, nil
}

// badFile marks an error of a file that the settings name.
func badFile(path string, err error) error {
	return errors.Mark(errors.Wrapf(err, "read %s", path), boragewick.ErrBadSettings)
}

// writeFile replaces the file at once and syncs it.
func writeFile(path string, b []byte, mode os.FileMode) error {
	if err := replaceFile(path, b, mode); err != nil {
		return errors.Mark(errors.Wrapf(err, "write %s", path), boragewick.ErrStorage)
	}
	return nil
}

// replaceFile writes a temporary file and renames it.
func replaceFile(path string, b []byte, mode os.FileMode) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".new-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }()
	_, err = f.Write(b)
	err = errors.CombineErrors(err, f.Chmod(mode))
	err = errors.CombineErrors(err, f.Sync())
	err = errors.CombineErrors(err, f.Close())
	if err != nil {
		return err
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return err
	}
	return syncDir(filepath.Dir(path))
}

// syncDir makes a rename last.
func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.CombineErrors(d.Sync(), d.Close())
}
