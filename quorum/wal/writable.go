package wal

import (
	"path/filepath"

	"github.com/cockroachdb/errors"
)

const (
	probeFile = "writable"
	// probeBytes is more than what a file system keeps in its own tables, and at least
	// one block.
	probeBytes = 64 << 10
)

// CheckWritable returns nil if a folder's disk takes and syncs a write, else why not. What
// is written is removed again.
func CheckWritable(fs FS, folder string) error {
	path := filepath.Join(folder, probeFile)
	if err := probeDisk(fs, folder, path); err != nil {
		_ = fs.Remove(path) // The disk is failing; the next probe empties the file.
		return errors.Wrapf(err, "probe of %s", path)
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
		_ = f.Close() // The write's error says more.
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
