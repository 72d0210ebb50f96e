package control

import (
	"context"
	"sync"

	"github.com/cairnlift/cairnlift/quorum"
)

// MemoryLog is a log of a single replica that stores nothing, for the embedded default and for
// tests. It always leads, in term 1.
type MemoryLog struct {
	mu      sync.Mutex
	machine quorum.StateMachine
	index   uint64
	address string
}

// NewMemoryLog returns a log that applies commands to a state machine; address is the replica's
// own.
func NewMemoryLog(machine quorum.StateMachine, address string) *MemoryLog {
	return &MemoryLog{machine: machine, address: address}
}

// Propose implements Log.
func (l *MemoryLog) Propose(ctx context.Context, command []byte) ([]byte, uint64, error) {
	if err := ctx.Err(); err != nil {
		return nil, 0, &UnavailableError{RetryAfter: retryAfter, Cause: err.Error()}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.machine.Apply(l.index, command), l.index, nil
}

// ReadBarrier implements Log.
func (l *MemoryLog) ReadBarrier(context.Context) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.index, nil
}

// Leading implements Log.
func (l *MemoryLog) Leading() (uint64, bool) { return 1, true }

// LeaderAddress implements Log.
func (l *MemoryLog) LeaderAddress() string { return l.address }
