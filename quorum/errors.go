package quorum

import "github.com/cockroachdb/errors"

// Outcomes of calls on a Raft. Each of them left the replica unchanged.
var (
	// ErrNotLeader says that only the leader of the group can do this.
	ErrNotLeader = errors.New("this replica is not the leader")
	// ErrOverloaded says that too many entries wait for a majority.
	ErrOverloaded = errors.New("too many uncommitted entries")
	// ErrTooLarge says that a command is longer than MaxCommandBytes.
	ErrTooLarge = errors.New("command too large")
	// ErrTransferring says that leadership is being handed to another replica.
	ErrTransferring = errors.New("leadership is being transferred")
	// ErrMembershipPending says that an earlier change, or the first entry of the
	// leader's term, is not committed yet.
	ErrMembershipPending = errors.New("a membership change must wait for an earlier entry")
	// ErrMembershipChangeRefused says that a change is not one of the allowed single steps.
	ErrMembershipChangeRefused = errors.New("membership change refused")
	// ErrNotCaughtUp says that a learner lags too far to become a voter.
	ErrNotCaughtUp = errors.New("learner is not caught up")
	// ErrNotVoter says that the named replica has no vote in the group.
	ErrNotVoter = errors.New("replica is not a voter")
	// ErrUnresponsive says that a replica was silent for an election timeout.
	ErrUnresponsive = errors.New("replica is not heard")
	// ErrNotApplied says that a snapshot was offered of an index not applied yet.
	ErrNotApplied = errors.New("index is not applied")
	// ErrCompacted says that a newer snapshot exists.
	ErrCompacted = errors.New("index is already compacted")
	// ErrInvalidMessage says that a message is malformed or meant for another replica.
	ErrInvalidMessage = errors.New("unusable message")
	// ErrInvalidStoredState says that what was found on the disk cannot be a replica's state.
	ErrInvalidStoredState = errors.New("unusable stored state")
	// ErrLostEntries says that entries which this replica had acknowledged are
	// missing. It must stop for good and return under a new id.
	ErrLostEntries = errors.New("acknowledged entries are missing from the log")
)

// invariantViolated stops the process because the named invariant does not hold: going on
// could only spread the damage to the other replicas.
func invariantViolated(format string, args ...any) {
	panic(errors.AssertionFailedf("quorum: broken invariant: "+format, args...))
}
