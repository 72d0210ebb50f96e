package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cairnlift/cairnlift/platform/platformtest"
)

// caller is what a caller does with a job beside handing it in.
type caller struct {
	// first is the number of the entry that the first try goes to.
	first int
	// tries bounds how often it is handed in; 0 for no bound.
	tries int
	// again is when it is sent once more after it was accepted, cancel when it is cancelled; 0 for never.
	again, cancel time.Duration
}

const (
	givesUpPercent = 30
	maxTries       = 3
	againPercent   = 20
	cancelPercent  = 25
)

var (
	againTimes  = span{0, 4 * time.Second}
	cancelTimes = []span{{0, 300 * time.Millisecond}, {300 * time.Millisecond, 4 * time.Second}, {5 * time.Second, 30 * time.Second}}
)

// drawCaller draws what a caller does.
func (l *load) drawCaller() caller {
	if !l.callers {
		return caller{}
	}
	c := caller{first: l.rand.IntN(len(l.c.entryIPs))}
	if hits(l.rand, givesUpPercent) {
		c.tries = 1 + l.rand.IntN(maxTries)
	}
	if hits(l.rand, againPercent) {
		c.again = againTimes.draw(l.rand)
	}
	if hits(l.rand, cancelPercent) {
		c.cancel = drawOne(l.rand, cancelTimes)
	}
	return c
}

func hits(r *rand.Rand, percent int) bool { return r.IntN(100) < percent }

// call hands a job in until it is accepted or the caller gives up. What the caller does later
// goes on beside.
func (l *load) call(ctx context.Context, prefix, id string, j platformtest.Job, c caller) {
	job := &submittedJob{ID: id, Path: prefix + id, Job: j}
	if !l.submit(ctx, job, c) {
		return
	}
	l.mu.Lock()
	l.jobs = append(l.jobs, job)
	l.mu.Unlock()
	if job.Refused {
		return
	}
	if c.again > 0 {
		l.later.Go(func() { l.sendAgain(ctx, job, c) })
	}
	if c.cancel > 0 {
		l.later.Go(func() { l.cancel(ctx, job, c) })
	}
}

// submit reports whether the caller knows what became of the job.
func (l *load) submit(ctx context.Context, job *submittedJob, c caller) bool {
	refused := true
	for try := 0; ctx.Err() == nil && (c.tries == 0 || try < c.tries); try++ {
		status, err := l.c.client.Submit(ctx, l.entry(c.first+try), queueHost, job.Path, job.Job)
		if err == nil && status == http.StatusOK {
			job.Accepted = time.Now()
			return true
		}
		refused = refused && err == nil && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable)
		sleep(ctx, retryEvery)
	}
	job.Refused = refused && ctx.Err() == nil
	return job.Refused
}

func (l *load) entry(number int) string { return l.c.entryIPs[number%len(l.c.entryIPs)] }

// sendAgain hands in what was accepted, as callers do whose first message comes late.
func (l *load) sendAgain(ctx context.Context, job *submittedJob, c caller) {
	if sleep(ctx, c.again); ctx.Err() == nil {
		_, _ = l.c.client.Submit(ctx, l.entry(c.first+1), queueHost, job.Path, job.Job) // nobody waits for it
	}
}

// cancel asks for the end of a job until that is acknowledged.
func (l *load) cancel(ctx context.Context, job *submittedJob, c caller) {
	if sleep(ctx, c.cancel); ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	job.CancelSent = time.Now()
	l.mu.Unlock()
	for try := 0; ctx.Err() == nil; try++ {
		status, err := l.c.client.Cancel(ctx, l.entry(c.first+try), queueHost, job.Path)
		if err == nil && status/100 == 2 {
			l.mu.Lock()
			job.Canceled = time.Now()
			l.mu.Unlock()
			return
		}
		sleep(ctx, retryEvery)
	}
}

// askStates asks any entry for the state of each job.
func (l *load) askStates(ctx context.Context) {
	for i, job := range l.jobs {
		for try := 0; try < len(l.c.entryIPs) && job.Status == 0 && !job.Refused; try++ {
			status, state, err := l.c.client.State(ctx, l.entry(i+try), queueHost, job.Path)
			if err == nil {
				job.Status, job.State = status, state
			}
		}
	}
}
