package quorum

import "github.com/cockroachdb/errors"

// Errors returned by calls on a Raft. A call that returns one of them has left the replica
// unchanged.
var (
	// ErrNotLeader is returned for an operation that only the leader can do.
	ErrNotLeader = errors.New("this replica is not the leader")
	// ErrOverloaded is returned when the leader has too many uncommitted entries.
	ErrOverloaded = errors.New("too many uncommitted entries")
	// ErrTooLarge is returned for a command longer than MaxCommandBytes.
	ErrTooLarge = errors.New("command too large")
	// ErrTransferring is returned while leadership is being transferred.
	ErrTransferring = errors.New("leadership is being transferred")
	// ErrMembershipPending is returned when an earlier change, or the first entry of
	// the leader's term, is not committed yet.
	ErrMembershipPending = errors.New("a membership change must wait for an earlier entry")
	// ErrMembershipChangeRefused is returned for a membership that is invalid, or not one
	// allowed step from the current one.
	ErrMembershipChangeRefused = errors.New("membership change refused")
	// ErrNotCaughtUp is returned when a learner lags too far behind to become a voter.
	ErrNotCaughtUp = errors.New("learner is not caught up")
	// ErrNotVoter is returned when the given replica is not a voter of the group.
	ErrNotVoter = errors.New("replica is not a voter")
	// ErrUnresponsive is returned when there was no contact with the given replica for an
	// election timeout.
	ErrUnresponsive = errors.New("replica is not responding")
	// ErrNotApplied is returned for a snapshot at an index that is not applied yet.
	ErrNotApplied = errors.New("index is not applied")
	// ErrCompacted is returned when a snapshot at the index or a later one exists.
	ErrCompacted = errors.New("index is already compacted")
	// ErrInvalidMessage is returned for a message that is malformed or addressed to another
	// replica.
	ErrInvalidMessage = errors.New("unusable message")
	// ErrInvalidStoredState is returned when the state on the disk violates the rules of the
	// log.
	ErrInvalidStoredState = errors.New("invalid stored state")
	// ErrLostEntries is returned when entries that this replica acknowledged are
	// missing. The replica must stop, and may return only under a new id.
	ErrLostEntries = errors.New("acknowledged entries are missing from the log")
)

// invariantViolated panics because an invariant does not hold. Continuing could spread the
// damage to other replicas.
func invariantViolated(format string, args ...any) {
	panic(errors.AssertionFailedf("quorum: invariant violated: "+format, args...))
}
