package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/state"
)

const (
	defaultJobMemoryLimit = 1 << 30
	// maxShareOfFree divides the free memory: one job may take at most this part of it, so that many large
	// jobs leave room for small ones.
	maxShareOfFree = 4
	// memoryRetryAfter is the Retry-After of a job that is refused for its memory.
	memoryRetryAfter = time.Second
	// refusedForMemory is the reason in logs and responses.
	refusedForMemory = "memory"
)

// memoryGuard refuses jobs on the leader that do not fit into the memory of a control host. It counts the
// jobs in the log, those that are being submitted and those whose submissions have an unknown outcome.
type memoryGuard struct {
	replica   Replica
	now       func() time.Time
	refuser   *refuser
	limit     int64
	logger    *zap.Logger
	refused   metrics.Counter
	estimated metrics.Gauge

	mu       sync.Mutex
	attempts map[string]*attempt // by job
	doubts   []doubt             // in the order of their ends
	// pending is the estimated memory of the attempts.
	pending  int64
	loggedAt time.Time
}

// attempt is the submissions of a job that are in progress or have an unknown outcome, or a refusal in
// progress if done is set.
type attempt struct {
	bytes int64
	calls int
	// doubtUntil is until when the job may be committed although no submission is in progress.
	doubtUntil time.Time

	done   chan struct{}
	spec   *apiv1.JobSpec
	term   uint64
	result *apiv1.Result
	err    error
}

type doubt struct {
	job     string
	attempt *attempt
	until   time.Time
}

func newMemoryGuard(o *Options, r *refuser, logger *zap.Logger) *memoryGuard {
	return &memoryGuard{
		replica: o.Replica, now: o.Now, refuser: r, limit: o.JobMemoryLimit, logger: logger, attempts: map[string]*attempt{},
		refused:   metrics.GetOrRegisterCounter("admission.refused.memory", o.Metrics),
		estimated: metrics.GetOrRegisterGauge("admission.job_bytes", o.Metrics),
	}
}

// submit calls next unless the job does not fit.
func (g *memoryGuard) submit(ctx context.Context, spec *apiv1.JobSpec, next control.ProposeFunc) (*apiv1.Result, error) {
	if jobqueue.ValidateJob(spec) != nil {
		return next(ctx) // the log refuses it, with the reason
	}
	for {
		a, own := g.enter(spec)
		switch {
		case a.done == nil:
			res, err := next(ctx)
			g.leave(spec.Id, a, res, err)
			return res, err
		case own:
			a.result, a.err = g.refuser.confirm(ctx, spec, a.term, refusalResult(refusedForMemory, memoryRetryAfter, false))
			g.endRefusal(a)
			return a.result, a.err
		}
		select {
		case <-ctx.Done():
			return nil, &control.UnknownError{Cause: "another submission of the job is in progress"}
		case <-a.done:
		}
		if samePlace(a.spec, spec) {
			return a.result, a.err
		}
	}
}

// enter returns the job's attempt, which includes this submission, or a refusal of the job. own is set if
// the attempt begins with this submission.
func (g *memoryGuard) enter(spec *apiv1.JobSpec) (a *attempt, own bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endDoubts()
	if a = g.attempts[spec.Id]; a != nil {
		a.calls++
		return a, false
	}
	a = &attempt{calls: 1}
	g.attempts[spec.Id] = a
	stored, isNew := g.read(spec)
	if !isNew {
		return a, true
	}
	bytes := jobqueue.EstimateBytes(spec)
	if bytes > (g.limit-stored-g.pending)/maxShareOfFree {
		a.done, a.spec = make(chan struct{}), spec
		a.term, _ = g.replica.Leading()
		g.recordRefusal(a)
		return a, true
	}
	a.bytes = bytes
	g.pending += bytes
	g.estimated.Update(stored + g.pending)
	return a, true
}

// read returns the estimated memory of the stored jobs, and whether the log would accept the job as a new one.
func (g *memoryGuard) read(spec *apiv1.JobSpec) (stored int64, isNew bool) {
	g.replica.ReadState(func(m *state.Machine) {
		_, outcome := m.CallerJobs().Lookup(spec.Host, spec.Path, spec.Id)
		stored, isNew = m.CallerJobs().EstimatedBytes(), outcome == apiv1.JobOutcome_JOB_OUTCOME_NO_JOB
	})
	return stored, isNew
}

// leave ends a submission that was not refused here.
func (g *memoryGuard) leave(job string, a *attempt, res *apiv1.Result, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	a.calls--
	var unknown *control.UnknownError
	switch {
	case errors.As(err, &unknown):
		a.doubtUntil = now.Add(doubtRetention)
		g.doubts = append(g.doubts, doubt{job, a, a.doubtUntil})
	case err == nil && res.Job == apiv1.JobOutcome_JOB_OUTCOME_OK:
		a.doubtUntil = time.Time{}
	}
	g.dropIfOver(job, a, now)
}

func (g *memoryGuard) dropIfOver(job string, a *attempt, now time.Time) {
	if a.calls == 0 && !now.Before(a.doubtUntil) && g.attempts[job] == a {
		g.pending -= a.bytes
		delete(g.attempts, job)
	}
}

// endDoubts drops the attempts whose doubts are over.
func (g *memoryGuard) endDoubts() {
	if len(g.doubts) == 0 {
		return
	}
	now := g.now()
	for len(g.doubts) > 0 && !now.Before(g.doubts[0].until) {
		g.dropIfOver(g.doubts[0].job, g.doubts[0].attempt, now)
		g.doubts = g.doubts[1:]
	}
}

func (g *memoryGuard) endRefusal(a *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.attempts, a.spec.Id)
	close(a.done)
}

// recordRefusal counts a refusal, and logs it if that is the first one in refusalLogInterval.
func (g *memoryGuard) recordRefusal(a *attempt) {
	g.refused.Inc(1)
	if now := g.now(); now.Sub(g.loggedAt) >= refusalLogInterval {
		g.loggedAt = now
		event.SubmissionRefused.Write(g.logger, event.Term(a.term), event.Job(a.spec.Id), event.Account(a.spec.Account),
			event.Reason(refusedForMemory), event.RetryAfter(memoryRetryAfter))
	}
}
