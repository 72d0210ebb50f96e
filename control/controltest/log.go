// Package controltest provides a replicated log for tests of a control.Replica.
package controltest

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
)

// commitDelay is the duration of a commit or of a confirmation of leadership.
const commitDelay = 5 * time.Millisecond

var errLeadershipChanged = errors.New("leadership changed")

// Log is the log of a single replica whose leadership changes on demand.
type Log struct {
	// CommitsUnconfirmed reports whether a proposal whose leader was deposed is committed all the
	// same; nil means that none is.
	CommitsUnconfirmed func() bool

	mu      sync.Mutex
	machine *control.Replica
	index   uint64
	term    uint64
	leading bool
}

// NewLog returns the log of a replica, which leads in term 1.
func NewLog(machine *control.Replica) *Log {
	l := &Log{machine: machine, term: 1, leading: true}
	machine.Attach(l)
	return l
}

// Propose commits a command and applies it.
func (l *Log) Propose(_ context.Context, command []byte) ([]byte, uint64, error) {
	before, _ := l.Leading()
	time.Sleep(commitDelay)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading || l.term != before {
		if l.CommitsUnconfirmed != nil && l.CommitsUnconfirmed() {
			l.index++
			l.machine.Apply(l.index, command)
		}
		return nil, 0, &control.UnknownError{Cause: errLeadershipChanged.Error()}
	}
	l.index++
	return l.machine.Apply(l.index, command), l.index, nil
}

// ReadBarrier confirms that the replica leads, and has led in the same term since the call.
func (l *Log) ReadBarrier(context.Context) (uint64, error) {
	before, _ := l.Leading()
	time.Sleep(commitDelay)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading || l.term != before {
		return 0, errLeadershipChanged
	}
	return l.index, nil
}

// Leading returns the term and whether the replica leads in it.
func (l *Log) Leading() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.leading
}

// LeaderAddress returns an empty address, because there is no other replica.
func (l *Log) LeaderAddress() string { return "" }

// LoseLeadership ends the leadership and starts the next term after gap.
func (l *Log) LoseLeadership(gap time.Duration) {
	l.mu.Lock()
	l.leading = false
	l.mu.Unlock()
	time.Sleep(gap)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term++
	l.leading = true
}

const (
	// proposeTries and proposeInterval limit the time without a leader that Propose tolerates,
	// which is longer than any simulation goes without one.
	proposeTries    = 10_000
	proposeInterval = 10 * time.Millisecond
)

// Propose commits a command about submitted jobs, repeating it until a replica leads. A refused
// command fails the test.
func Propose(ctx context.Context, t testing.TB, replica *control.Replica, c *apiv1.JobsCommand) {
	t.Helper()
	for range proposeTries {
		res, err := replica.ProposeLocal(ctx, &apiv1.Command{Body: &apiv1.Command_Jobs{Jobs: c}})
		if err == nil {
			if res.Job != apiv1.JobOutcome_JOB_OUTCOME_OK {
				t.Fatalf("%v: %v", c, res.Job)
			}
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(proposeInterval):
		}
	}
	t.Fatal("no replica became leader")
}
