package control

import "context"

// Log is the replicated log as a replica's driver offers it.
type Log interface {
	// Propose commits a command and returns its result and index once it is
	// applied here. Errors: *NotLeaderError and *UnavailableError (nothing was
	// proposed), *UnknownError (it may be committed now or later).
	Propose(ctx context.Context, command []byte) (result []byte, index uint64, err error)
	// ReadBarrier returns once this replica has applied everything that was
	// committed in the group before the call. On a leader, success proves that a
	// majority still followed it at some moment after the call: it asks them, it
	// does not trust a clock.
	ReadBarrier(ctx context.Context) (index uint64, err error)
	// Leading returns the replica's term and whether it leads in it.
	Leading() (term uint64, ok bool)
	// LeaderAddress returns the leader's internal address, empty when unknown.
	LeaderAddress() string
}

// unattachedLog stands for a log that is not there yet.
type unattachedLog struct{}

func (unattachedLog) Propose(context.Context, []byte) ([]byte, uint64, error) {
	return nil, 0, &NotLeaderError{}
}

func (unattachedLog) ReadBarrier(context.Context) (uint64, error) { return 0, &NotLeaderError{} }

func (unattachedLog) Leading() (uint64, bool) { return 0, false }

func (unattachedLog) LeaderAddress() string { return "" }
