package control

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/quorum"
	"github.com/cairnlift/cairnlift/quorum/node"
)

// NodeLog is a replica of the quorum as a Log.
type NodeLog struct{ *node.Node }

var _ Log = NodeLog{}

// Propose implements Log.
func (l NodeLog) Propose(ctx context.Context, command []byte) ([]byte, uint64, error) {
	result, index, err := l.Node.Propose(ctx, command)
	return result, index, translateError(err)
}

// translateError turns the node's errors into those that Log names. Only those that
// say that nothing was committed become others than UnknownError.
func translateError(err error) error {
	if err == nil {
		return nil
	}
	var notLeader *node.NotLeaderError
	var overloaded *node.OverloadedError
	var stopped *node.StoppedError
	switch {
	case errors.As(err, &notLeader):
		return &NotLeaderError{LeaderAddress: notLeader.LeaderAddress}
	case errors.As(err, &overloaded), errors.As(err, &stopped), errors.Is(err, quorum.ErrTooLarge):
		return &UnavailableError{RetryAfter: retryAfter, Cause: err.Error()}
	}
	return &UnknownError{Cause: err.Error()}
}

// ReadBarrier implements Log.
func (l NodeLog) ReadBarrier(ctx context.Context) (uint64, error) {
	index, err := l.Node.ReadBarrier(ctx)
	return index, errors.Wrap(err, "read barrier")
}

// Leading implements Log.
func (l NodeLog) Leading() (term uint64, ok bool) {
	s := l.Status()
	return s.Term, s.Role == quorum.Leader
}
