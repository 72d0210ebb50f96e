package node

import "fmt"

// NotLeaderError reports that this replica isn't the leader. Nothing was proposed.
type NotLeaderError struct {
	// LeaderAddress is empty if no leader is known.
	LeaderAddress string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.LeaderAddress == "" {
		return "not the leader, and no leader is known"
	}
	return "not the leader; the leader is at " + e.LeaderAddress
}

// UnknownError reports that a proposal may or may not be committed, now or later.
type UnknownError struct{ Cause string }

// Error implements error.
func (e *UnknownError) Error() string { return "proposal may or may not be committed: " + e.Cause }

// OverloadedError reports that nothing was proposed because too many requests are queued.
type OverloadedError struct{ Cause string }

// Error implements error.
func (e *OverloadedError) Error() string { return "nothing was proposed: " + e.Cause }

// StoppedError reports that the replica has stopped and serves no more calls. Nothing was
// proposed.
type StoppedError struct {
	// Cause is nil after a planned stop.
	Cause error
}

// Error implements error.
func (e *StoppedError) Error() string {
	if e.Cause == nil {
		return "replica is stopped"
	}
	return "replica is stopped: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *StoppedError) Unwrap() error { return e.Cause }

// FolderError reports that the data folder belongs to another replica.
type FolderError struct{ Cell, Name string }

// Error implements error.
func (e *FolderError) Error() string {
	return fmt.Sprintf("the data folder belongs to replica %s of cell %s", e.Name, e.Cell)
}

// InvariantError reports that a violated invariant stopped the replica.
type InvariantError struct{ Value any }

// Error implements error.
func (e *InvariantError) Error() string { return fmt.Sprint(e.Value) }
