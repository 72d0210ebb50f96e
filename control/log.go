package control

import "context"

// Log is the replicated log as a replica uses it.
type Log interface {
	// Propose commits a command and returns its result and index once it is applied on this
	// replica. Errors: *NotLeaderError and *UnavailableError (nothing was proposed), *UnknownError
	// (the command may be committed now or later).
	Propose(ctx context.Context, command []byte) (result []byte, index uint64, err error)
	// ReadBarrier returns once this replica has applied everything that was committed in the group
	// before the call. On a leader, success confirms that a majority still followed it at some
	// moment after the call: the leader queries the majority and does not rely on a clock.
	ReadBarrier(ctx context.Context) (index uint64, err error)
	// Leading returns the replica's term and whether it leads in it.
	Leading() (term uint64, ok bool)
	// LeaderAddress returns the leader's internal address, empty when unknown.
	LeaderAddress() string
}

// unattachedLog is used until a log is attached; it refuses all calls.
type unattachedLog struct{}

func (unattachedLog) Propose(context.Context, []byte) ([]byte, uint64, error) {
	return nil, 0, &NotLeaderError{}
}

func (unattachedLog) ReadBarrier(context.Context) (uint64, error) { return 0, &NotLeaderError{} }

func (unattachedLog) Leading() (uint64, bool) { return 0, false }

func (unattachedLog) LeaderAddress() string { return "" }
