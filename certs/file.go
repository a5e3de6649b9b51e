package certs

import (
	"encoding/pem"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// prepareFolder creates the folder if needed and checks that it contains no
// authority.
func prepareFolder(dir string) error {
	if err := os.MkdirAll(dir, modeDir); err != nil {
		return errors.Mark(errors.Wrap(err, "create folder"), boragewick.ErrStorage)
	}
	for _, name := range []string{AuthorityFile, AuthorityKeyFile} {
		_, err := os.Lstat(filepath.Join(dir, name))
		if err == nil {
			return errors.Wrapf(boragewick.ErrNameTaken, "the folder already contains %s", name)
		}
		if !errors.Is(err, fs.ErrNotExist) {
			return errors.Mark(errors.Wrap(err, "check folder for an existing authority"), boragewick.ErrStorage)
		}
	}
	return nil
}

// readFile returns the content of the first PEM block of a file, which must be
// of the given type.
func readFile(path, blockType string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, readError(path, err)
	}
	block, _ := pem.Decode(b)
	if block == nil || block.Type != blockType {
		return nil, errors.Wrapf(boragewick.ErrBadSettings, "%s has no PEM block of type %q", path, blockType)
	}
	return block.Bytes, nil
}

// readError marks a failure to read or parse a file that the settings name.
func readError(path string, err error) error {
	return errors.Mark(errors.Wrapf(err, "read %s", path), boragewick.ErrBadSettings)
}

// writeFile replaces the file atomically and syncs it.
func writeFile(path string, b []byte, mode os.FileMode) error {
	if err := replaceFile(path, b, mode); err != nil {
		return errors.Mark(errors.Wrapf(err, "write %s", path), boragewick.ErrStorage)
	}
	return nil
}

// replaceFile writes and syncs a temporary file and renames it to path.
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

// syncDir makes a rename in the folder durable.
func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.CombineErrors(d.Sync(), d.Close())
}
