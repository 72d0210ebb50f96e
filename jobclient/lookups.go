package jobclient

import (
	"context"
	"sync"
	"time"

	"github.com/cairnlift/cairnlift/control"
)

const (
	// lookupTimeout bounds a question to the leader.
	lookupTimeout = time.Second
	// maxLookupBytes bounds the jobs of a question. While so many wait, further ones are not asked about.
	maxLookupBytes = 256 << 10
	// keyBytes is what a job takes in a question beside its strings.
	keyBytes = 32
)

// lookups asks the leader whether jobs were submitted before. A question is about the jobs of all callers
// that wait for one, and at most one is in progress.
type lookups struct {
	ask     func(context.Context, []control.SubmissionKey) []control.SubmissionState
	running chan struct{}

	mu   sync.Mutex
	next *question
}

// question is a question to the leader; states are set before done is closed.
type question struct {
	keys   []control.SubmissionKey
	bytes  int
	states []control.SubmissionState
	done   chan struct{}
}

func newLookups(ask func(context.Context, []control.SubmissionKey) []control.SubmissionState) *lookups {
	return &lookups{ask: ask, running: make(chan struct{}, 1)}
}

// state returns the state of a job, which is in doubt if the leader does not respond in time.
func (l *lookups) state(ctx context.Context, key control.SubmissionKey) control.SubmissionState {
	q, n := l.add(key)
	if q == nil {
		return control.SubmissionInDoubt
	}
	if n == 0 {
		l.run(ctx, q)
	}
	select {
	case <-ctx.Done():
		return control.SubmissionInDoubt
	case <-q.done:
		return q.states[n]
	}
}

// add adds a job to the next question and returns its index there, or nil if there are too many.
func (l *lookups) add(key control.SubmissionKey) (q *question, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.next == nil {
		l.next = &question{done: make(chan struct{})}
	}
	q, n = l.next, len(l.next.keys)
	bytes := keyBytes + len(key.Host) + len(key.Path) + len(key.ID)
	if q.bytes+bytes > maxLookupBytes {
		return nil, 0
	}
	q.bytes += bytes
	q.keys = append(q.keys, key)
	return q, n
}

// run waits for the question in progress and then asks a question.
func (l *lookups) run(ctx context.Context, q *question) {
	l.running <- struct{}{}
	l.mu.Lock()
	l.next = nil
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookupTimeout)
	defer cancel()
	q.states = l.ask(ctx, q.keys)
	<-l.running
	close(q.done)
}
