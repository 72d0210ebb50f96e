package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cairnlift/cairnlift/platform/platformtest"
)

// caller is the behavior of the caller of one job, apart from submitting it.
type caller struct {
	// firstEntry is the number of the entry that receives the first attempt.
	firstEntry int
	// maxAttempts limits how often the job is submitted; 0 means no limit.
	maxAttempts int
	// resendAfter is the time from the acceptance of the job until it is submitted once more, cancelAfter
	// until it is canceled; 0 means never.
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

// drawCaller draws the behavior of a caller.
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

// runCaller submits a job until it is accepted or the caller gives up. The caller's later requests run
// in the background.
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

// submit submits a job, and reports whether the caller knows that it was accepted or refused.
func (l *load) submit(ctx context.Context, job *submittedJob, c caller) bool {
	refused := true
	for attempt := 0; ctx.Err() == nil && (c.maxAttempts == 0 || attempt < c.maxAttempts); attempt++ {
		status, err := l.c.client.Submit(ctx, l.entryIP(c.firstEntry+attempt), queueHost, job.Path, job.Job)
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

// resubmit submits an accepted job once more, which has the effect of a first request that is delayed on
// the network.
func (l *load) resubmit(ctx context.Context, job *submittedJob, c caller) {
	if sleep(ctx, c.resendAfter); ctx.Err() == nil {
		_, _ = l.c.client.Submit(ctx, l.entryIP(c.firstEntry+1), queueHost, job.Path, job.Job) // no caller waits for this response
	}
}

// cancel requests the cancellation of a job until it is acknowledged.
func (l *load) cancel(ctx context.Context, job *submittedJob, c caller) {
	if sleep(ctx, c.cancelAfter); ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	job.CancelSent = time.Now()
	l.mu.Unlock()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		status, err := l.c.client.Cancel(ctx, l.entryIP(c.firstEntry+attempt), queueHost, job.Path)
		if err == nil && status/100 == 2 {
			l.mu.Lock()
			job.Canceled = time.Now()
			l.mu.Unlock()
			return
		}
		sleep(ctx, retryInterval)
	}
}

// queryStates queries the state of each job at any entry.
func (l *load) queryStates(ctx context.Context) {
	for i, job := range l.jobs {
		for attempt := 0; attempt < len(l.c.entryIPs) && job.Status == 0 && !job.Refused; attempt++ {
			status, state, err := l.c.client.State(ctx, l.entryIP(i+attempt), queueHost, job.Path)
			if err == nil {
				job.Status, job.State = status, state
			}
		}
	}
}
