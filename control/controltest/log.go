// Package controltest is a stand-in for the replicated log under a control.Replica.
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

// commitDelay is what a commit or a confirmation of leadership takes.
const commitDelay = 5 * time.Millisecond

var errLeadershipChanged = errors.New("leadership changed")

// Log is a log of one replica whose leadership changes on demand.
type Log struct {
	mu      sync.Mutex
	machine *control.Replica
	index   uint64
	term    uint64
	leading bool
}

// NewLog returns the log of a replica, which leads in the first term.
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
		return nil, 0, &control.UnknownError{Cause: errLeadershipChanged.Error()}
	}
	l.index++
	return l.machine.Apply(l.index, command), l.index, nil
}

// ReadBarrier confirms that the replica leads.
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

// Leading returns the term, and whether the replica leads.
func (l *Log) Leading() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.leading
}

// LeaderAddress returns no address: there is no other replica.
func (l *Log) LeaderAddress() string { return "" }

// LoseLeadership ends the leadership; after a while another term begins.
func (l *Log) LoseLeadership(without time.Duration) {
	l.mu.Lock()
	l.leading = false
	l.mu.Unlock()
	time.Sleep(without)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term++
	l.leading = true
}

const (
	// proposeTries and proposeInterval bound the time without a leader that Propose bears: longer
	// than any simulation goes without one.
	proposeTries    = 10_000
	proposeInterval = 10 * time.Millisecond
)

// Propose commits a command about submitted jobs, whoever leads by then. One that is not
// taken ends the test.
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
	t.Fatal("nobody ever leads")
}
