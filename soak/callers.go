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
	// firstEntry is the number of the entry that the first try goes to.
	firstEntry int
	// maxAttempts bounds how often it is handed in; 0 for no bound.
	maxAttempts int
	// resendAfter is when it is sent once more after it was accepted, cancel when it is cancelled; 0 for never.
	resendAfter, cancelAfter time.Duration
}

const (
	giveUpPercent     = 30
	maxCallerAttempts = 3
	resendPercent     = 20
	cancelPercent     = 25
)

var (
	resendTimes = span{0, 4 * time.Second}
	cancelTimes = []span{{0, 300 * time.Millisecond}, {300 * time.Millisecond, 4 * time.Second}, {5 * time.Second, 30 * time.Second}}
)

// drawCaller draws what a caller does.
func (l *load) drawCaller() caller {
	if !l.callers {
		return caller{}
	}
	c := caller{firstEntry: l.rand.IntN(len(l.c.entryIPs))}
	if chance(l.rand, giveUpPercent) {
		c.maxAttempts = 1 + l.rand.IntN(maxCallerAttempts)
	}
	if chance(l.rand, resendPercent) {
		c.resendAfter = resendTimes.draw(l.rand)
	}
	if chance(l.rand, cancelPercent) {
		c.cancelAfter = drawFromOne(l.rand, cancelTimes)
	}
	return c
}

func chance(r *rand.Rand, percent int) bool { return r.IntN(100) < percent }

// runCaller hands a job in until it is accepted or the caller gives up. What the caller does later
// goes on beside.
func (l *load) runCaller(ctx context.Context, prefix, id string, j platformtest.Job, c caller) {
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
	if c.resendAfter > 0 {
		l.followUps.Go(func() { l.resubmit(ctx, job, c) })
	}
	if c.cancelAfter > 0 {
		l.followUps.Go(func() { l.cancel(ctx, job, c) })
	}
}

// submit reports whether the caller knows what became of the job.
func (l *load) submit(ctx context.Context, job *submittedJob, c caller) bool {
	refused := true
	for try := 0; ctx.Err() == nil && (c.maxAttempts == 0 || try < c.maxAttempts); try++ {
		status, err := l.c.client.Submit(ctx, l.entryIP(c.firstEntry+try), queueHost, job.Path, job.Job)
		if err == nil && status == http.StatusOK {
			job.Accepted = time.Now()
			return true
		}
		refused = refused && err == nil && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable)
		sleep(ctx, retryInterval)
	}
	job.Refused = refused && ctx.Err() == nil
	return job.Refused
}

func (l *load) entryIP(number int) string { return l.c.entryIPs[number%len(l.c.entryIPs)] }

// resubmit hands in what was accepted, as callers do whose first message comes late.
func (l *load) resubmit(ctx context.Context, job *submittedJob, c caller) {
	if sleep(ctx, c.resendAfter); ctx.Err() == nil {
		_, _ = l.c.client.Submit(ctx, l.entryIP(c.firstEntry+1), queueHost, job.Path, job.Job) // nobody waits for it
	}
}

// cancel asks for the end of a job until that is acknowledged.
func (l *load) cancel(ctx context.Context, job *submittedJob, c caller) {
	if sleep(ctx, c.cancelAfter); ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	job.CancelSent = time.Now()
	l.mu.Unlock()
	for try := 0; ctx.Err() == nil; try++ {
		status, err := l.c.client.Cancel(ctx, l.entryIP(c.firstEntry+try), queueHost, job.Path)
		if err == nil && status/100 == 2 {
			l.mu.Lock()
			job.Canceled = time.Now()
			l.mu.Unlock()
			return
		}
		sleep(ctx, retryInterval)
	}
}

// queryStates asks any entry for the state of each job.
func (l *load) queryStates(ctx context.Context) {
	for i, job := range l.jobs {
		for try := 0; try < len(l.c.entryIPs) && job.Status == 0 && !job.Refused; try++ {
			status, state, err := l.c.client.State(ctx, l.entryIP(i+try), queueHost, job.Path)
			if err == nil {
				job.Status, job.State = status, state
			}
		}
	}
}
