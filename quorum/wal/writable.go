package wal

import (
	"path/filepath"

	"github.com/cockroachdb/errors"
)

const (
	probeFile = "writable"
	// probeBytes is at least one block, and more than a file system stores within its
	// metadata.
	probeBytes = 64 << 10
)

// CheckWritable returns an error if the disk of a folder can't store and sync a write. The file
// that it writes is removed again.
func CheckWritable(fs FS, folder string) error {
	path := filepath.Join(folder, probeFile)
	if err := probeDisk(fs, folder, path); err != nil {
		_ = fs.Remove(path) // The disk is failing; the next probe truncates the file.
		return errors.Wrapf(err, "probe %s", path)
	}
	return nil
}

func probeDisk(fs FS, folder, path string) error {
	if err := fs.MkdirAll(folder); err != nil {
		return err
	}
	f, err := fs.Create(path)
	if err != nil {
		return err
	}
	if _, err := f.Write(make([]byte, probeBytes)); err != nil {
		_ = f.Close() // The write error is more specific.
		return err
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return fs.Remove(path)
}
