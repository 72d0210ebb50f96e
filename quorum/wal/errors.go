package wal

import "fmt"

// DamageError reports that data that was synced to the disk can't be read back. A replica
// must not start on such a disk: it may have acknowledged entries or granted a vote that it
// no longer knows about.
type DamageError struct {
	File string
	// Offset is the start of the unreadable part, in bytes from the start of the file.
	Offset int64
	Reason string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// WriteError reports that a write, a sync or another change of the disk failed. After the
// first one the log rejects all further use: the kernel may drop the pages of a failed sync
// and report success for the next one, so it is unknown what has been stored since.
type WriteError struct {
	Op    string
	File  string
	Cause error
}

// Error implements error.
func (e *WriteError) Error() string {
	return fmt.Sprintf("%s of %s failed, the log can no longer be used: %v", e.Op, e.File, e.Cause)
}

// Unwrap returns the cause, so that errors.Is finds for example syscall.ENOSPC.
func (e *WriteError) Unwrap() error { return e.Cause }

// LockedError reports that another process has locked the folder.
type LockedError struct{ Folder string }

// Error implements error.
func (e *LockedError) Error() string { return e.Folder + " is in use by another process" }
