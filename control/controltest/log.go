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
	// successor is the log of the replica that leads next; nil unless this one is cut off from it.
	successor *Log
	resigned  chan struct{}
	// queue are the proposals that are not settled, dropped the newest term of which one was dropped, and
	// stalledUntil is until when commits wait.
	queue        []*proposal
	dropped      uint64
	stalledUntil time.Time
}

// NewLog returns the log of a replica, which leads in term 1.
func NewLog(machine *control.Replica) *Log {
	l := &Log{machine: machine, term: 1, leading: true, resigned: make(chan struct{})}
	machine.Attach(l)
	return l
}

// CutOff cuts the replica off from another one, which gets its state and leads once Lead is called. Until
// Resign the replica goes on as if it led, but its proposals and reads are not confirmed.
func (l *Log) CutOff(successor *control.Replica) (*Log, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	data, err := l.machine.Snapshot()
	if err == nil {
		err = successor.Restore(data)
	}
	if err != nil {
		return nil, err
	}
	l.successor = &Log{
		CommitsUnconfirmed: l.CommitsUnconfirmed, machine: successor, index: l.index, term: l.term, resigned: make(chan struct{}),
	}
	successor.Attach(l.successor)
	return l.successor, nil
}

// Lead makes the replica lead in the next term.
func (l *Log) Lead() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term++
	l.leading = true
}

// Resign makes a replica that was cut off notice that another one leads.
func (l *Log) Resign() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term++
	l.leading = false
	close(l.resigned)
}

// awaitResignation waits until a replica that is cut off notices that, or ctx ends.
func (l *Log) awaitResignation(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.resigned:
	}
}

// Stall makes commits and reads wait for some time, as without a majority or with a slow disk. A proposal whose
// caller gives up meanwhile is committed all the same.
func (l *Log) Stall(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until := time.Now().Add(d); until.After(l.stalledUntil) {
		l.stalledUntil = until
	}
}

// awaitStall returns once commits go on, or when ctx ends.
func (l *Log) awaitStall(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		left := time.Until(l.stalledUntil)
		l.mu.Unlock()
		if left <= 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(left):
		}
	}
}

// proposal is a command that was proposed in a term. isolated: the replica was cut off already.
type proposal struct {
	command  []byte
	term     uint64
	isolated bool
	done     chan struct{}
	result   []byte
	index    uint64
}

// Propose commits a command and applies it.
func (l *Log) Propose(ctx context.Context, command []byte) ([]byte, uint64, error) {
	l.mu.Lock()
	p := &proposal{command: command, term: l.term, isolated: l.successor != nil, done: make(chan struct{})}
	l.queue = append(l.queue, p)
	l.mu.Unlock()
	time.AfterFunc(commitDelay, func() { l.settle(p) })
	select {
	case <-p.done:
	case <-ctx.Done():
		return nil, 0, &control.UnknownError{Cause: ctx.Err().Error()}
	}
	if l.cutOffFrom() != nil {
		l.awaitResignation(ctx)
	}
	if p.index == 0 {
		return nil, 0, &control.UnknownError{Cause: errLeadershipChanged.Error()}
	}
	return p.result, p.index, nil
}

// settle settles a proposal and those before it once commits go on. It runs in timers only: a goroutine that waits
// must not outlast a test in virtual time.
func (l *Log) settle(p *proposal) {
	l.mu.Lock()
	left := time.Until(l.stalledUntil)
	l.mu.Unlock()
	if left > 0 {
		time.AfterFunc(left, func() { l.settle(p) })
		return
	}
	l.commitUpTo(p)
}

// commitUpTo settles the proposals up to the given one, in order.
func (l *Log) commitUpTo(last *proposal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for settled := false; !settled && len(l.queue) > 0; {
		p := l.queue[0]
		l.queue = l.queue[1:]
		settled = p == last
		switch {
		case l.successor != nil:
			if !p.isolated {
				l.successor.commitOfFormerLeader(p)
			}
		case !l.leading || l.term != p.term:
			l.commitUnconfirmed(p)
		default:
			l.index++
			p.result, p.index = l.machine.Apply(l.index, p.command), l.index
		}
		close(p.done)
	}
}

// commitOfFormerLeader commits a proposal of a leader that was cut off, unless this replica leads already.
func (l *Log) commitOfFormerLeader(p *proposal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading {
		l.commitUnconfirmed(p)
	}
}

// commitUnconfirmed commits or drops a proposal whose leader was deposed. If one is dropped, so are the later
// ones of its term. The caller must hold l.mu.
func (l *Log) commitUnconfirmed(p *proposal) {
	if l.dropped < p.term && l.CommitsUnconfirmed != nil && l.CommitsUnconfirmed() {
		l.index++
		l.machine.Apply(l.index, p.command)
		return
	}
	l.dropped = max(l.dropped, p.term)
}

// ReadBarrier confirms that the replica leads, and has led in the same term since the call.
func (l *Log) ReadBarrier(ctx context.Context) (uint64, error) {
	before, _ := l.Leading()
	time.Sleep(commitDelay)
	l.awaitStall(ctx)
	if l.cutOffFrom() != nil {
		l.awaitResignation(ctx)
	}
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading || l.term != before || l.successor != nil {
		return 0, errLeadershipChanged
	}
	return l.index, nil
}

// cutOffFrom returns the log of the successor from which the replica is cut off; nil if it is not.
func (l *Log) cutOffFrom() *Log {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.successor
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
	if l.successor == nil {
		l.term++
		l.leading = true
	}
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
