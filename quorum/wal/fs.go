package wal

import (
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// File is a file open for appending.
type File interface {
	io.Writer
	// Sync returns after everything written is on the disk.
	Sync() error
	Truncate(size int64) error
	Close() error
}

// FS is the subset of file system operations that the log needs. The creation, renaming or
// removal of a file is durable only after SyncDir.
type FS interface {
	MkdirAll(folder string) error
	// List returns the names of a folder's files.
	List(folder string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create opens an empty file for appending, and truncates an existing one.
	Create(path string) (File, error)
	// Append opens an existing file for appending.
	Append(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(folder string) error
	// Lock locks the file at path for this process, or returns a *LockedError.
	Lock(path string) (io.Closer, error)
}

// OS implements FS with the file system of the operating system.
type OS struct{}

const (
	folderMode = 0o750
	fileMode   = 0o640
)

// osFile is a file that syncs with fdatasync, which stores the data and the file's size, but
// not its time stamps.
type osFile struct{ *os.File }

// Sync implements File.
func (f osFile) Sync() error {
	for {
		err := unix.Fdatasync(int(f.Fd()))
		if err != unix.EINTR {
			return err
		}
	}
}

// MkdirAll implements FS.
func (OS) MkdirAll(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return err
	}
	return OS{}.SyncDir(filepath.Dir(folder))
}

// List implements FS.
func (OS) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// ReadFile implements FS.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create implements FS.
func (OS) Create(path string) (File, error) {
	return open(path, os.O_CREATE|os.O_TRUNC)
}

// Append implements FS.
func (OS) Append(path string) (File, error) {
	return open(path, 0)
}

func open(path string, flag int) (File, error) {
	f, err := os.OpenFile(path, flag|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (OS) SyncDir(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Lock implements FS with flock. The kernel releases the lock when the process ends.
func (OS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		if err == unix.EWOULDBLOCK {
			return nil, &LockedError{Folder: filepath.Dir(path)}
		}
		return nil, err
	}
	return f, nil
}
