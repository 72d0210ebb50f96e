package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/admission"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/schedule"
	"github.com/cairnlift/cairnlift/state"
)

const (
	// trustAfter is the time that a new leader observes the fleet before it estimates by it.
	trustAfter = 5 * time.Second
	// maxSubmissions bounds the submissions that the leader handles at a time. Further ones are refused.
	maxSubmissions = 1024
	// doubtRetention is how long a submission whose proposal had an unknown outcome is never refused.
	// It is longer than callers repeat a submission without an answer.
	doubtRetention = time.Minute
	// overflowRetryAfter is the Retry-After of a submission beyond maxSubmissions.
	overflowRetryAfter = time.Second
)

// submissions decides on submitted jobs on the leader. It has a lock of its own, so that a flood of
// submissions does not delay reports and rounds.
type submissions struct {
	opts    *Options
	metrics admissionMetrics
	refuser *refuser

	mu sync.Mutex
	// term is the term in which this replica is ready to lead; 0 if it is not.
	term       uint64
	readyAt    time.Time
	controller *admission.Controller
	backlog    backlogState
	log        refusalLog
	// inFlight are the submissions that are being decided on or proposed, by job.
	inFlight map[string]*submission
	// doubtful are the jobs whose proposals had an unknown outcome, and until when they are kept.
	doubtful map[string]time.Time
}

// submission is a submission in progress. Its fields other than done are set before done is closed.
type submission struct {
	done   chan struct{}
	spec   *apiv1.JobSpec
	result *apiv1.Result
	err    error
	// request is the accepted request, nil until then. It is guarded by submissions.mu.
	request *admission.Request
}

func newSubmissions(o *Options, r *refuser, log refusalLog) *submissions {
	return &submissions{
		opts: o, metrics: newAdmissionMetrics(o.Metrics), log: log, refuser: r,
		inFlight: map[string]*submission{}, doubtful: map[string]time.Time{},
	}
}

// lead begins a term. Times to return and errors of an earlier term are forgotten.
func (s *submissions) lead(term uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term, s.readyAt = term, now
	s.controller = admission.New(s.opts.Admission, term)
	s.backlog = newBacklogState(now)
}

// resign ends the term.
func (s *submissions) resign(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.flush(s.term, now)
	s.term, s.controller = 0, nil
}

// SubmitJob decides on a submitted job on the leader; see control.Config.SubmitJob. A refusal means
// that the job is not in the log and that no proposal of this leader may still add it.
func (d *Dispatcher) SubmitJob(ctx context.Context, spec *apiv1.JobSpec, propose control.ProposeFunc) (*apiv1.Result, error) {
	return d.memory.submit(ctx, spec, func(ctx context.Context) (*apiv1.Result, error) {
		if d.submissions == nil {
			return propose(ctx)
		}
		return d.submissions.submit(ctx, spec, propose)
	})
}

func (s *submissions) submit(ctx context.Context, spec *apiv1.JobSpec, propose control.ProposeFunc) (*apiv1.Result, error) {
	for {
		if holds(s.opts.Replica, spec) {
			return &apiv1.Result{Verdict: apiv1.Verdict_VERDICT_ACCEPTED, Job: apiv1.JobOutcome_JOB_OUTCOME_OK}, nil
		}
		own, other := s.begin(spec)
		if own != nil {
			// The proposal of a caller that gives up must be waited for by those that submit the job again.
			own.result, own.err = s.handle(ctx, own, propose)
			s.end(own)
			return own.result, own.err
		}
		select {
		case <-ctx.Done():
			return nil, &control.UnknownError{Cause: "another submission of the job is in progress"}
		case <-other.done:
		}
		if other.err != nil || samePlace(other.spec, spec) {
			return other.result, other.err
		}
	}
}

func samePlace(a, b *apiv1.JobSpec) bool { return a.Host == b.Host && a.Path == b.Path }

// begin returns the new submission, or the one of the same job that is in progress.
func (s *submissions) begin(spec *apiv1.JobSpec) (own, other *submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if other = s.inFlight[spec.Id]; other != nil {
		return nil, other
	}
	own = &submission{done: make(chan struct{}), spec: spec}
	s.inFlight[spec.Id] = own
	return own, nil
}

func (s *submissions) end(own *submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, own.spec.Id)
	now := s.opts.Now()
	var unknown *control.UnknownError
	switch {
	case errors.As(own.err, &unknown):
		s.doubtful[own.spec.Id] = now.Add(doubtRetention)
	case own.err == nil && own.result.Job == apiv1.JobOutcome_JOB_OUTCOME_OK:
		delete(s.doubtful, own.spec.Id)
	}
	notAccepted := own.err != nil || own.result.Job != apiv1.JobOutcome_JOB_OUTCOME_OK
	if notAccepted && own.request != nil && s.controller != nil {
		s.controller.Forget(own.spec.Id)
	}
	close(own.done)
}

func (s *submissions) handle(ctx context.Context, own *submission, propose control.ProposeFunc) (*apiv1.Result, error) {
	started := time.Now()
	refusal, term := s.decide(own)
	s.metrics.decision.ObserveSince(started)
	if refusal == nil {
		return propose(ctx)
	}
	return s.refuser.confirm(ctx, own.spec, term, refusal)
}

// decide returns the result that refuses a submission, and the term of the decision; nil if it is to
// be proposed.
func (s *submissions) decide(own *submission) (refusal *apiv1.Result, term uint64) {
	queue := s.queueOf(own.spec)
	if queue == nil || jobqueue.ValidateJob(own.spec) != nil {
		return nil, 0 // the log refuses it, with the reason
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Now()
	if s.term == 0 || s.isDoubtful(own.spec.Id, now) {
		return nil, 0
	}
	if len(s.inFlight) > maxSubmissions {
		s.metrics.overflow.Inc(1)
		return refusalResult("too many submissions at a time", overflowRetryAfter, true), s.term
	}
	r := s.backlog.request(queue, own.spec)
	b := s.backlog.of(r, now)
	b.Trusted = now.Sub(s.readyAt) >= trustAfter
	if now.Sub(s.readyAt) < releasesKnownAfter {
		b.FreeMilli, b.Releases = 0, nil
	}
	d := s.controller.Decide(r, b, now)
	s.metrics.record(d)
	if d.Reason == admission.Accepted {
		own.request = &r
		s.backlog.accept(r)
		return nil, 0
	}
	s.log.add(s.term, refusedSubmission{request: r, backlog: b, decision: d}, now)
	return refusalResult(d.Reason.String(), d.RetryAfter, d.Full), s.term
}

// isDoubtful reports whether an earlier proposal of a job may still be committed. The caller must hold
// s.mu.
func (s *submissions) isDoubtful(job string, now time.Time) bool {
	until, found := s.doubtful[job]
	if found && now.After(until) {
		delete(s.doubtful, job)
		return false
	}
	return found
}

func (s *submissions) queueOf(spec *apiv1.JobSpec) (q *apiv1.JobQueue) {
	s.opts.Replica.ReadState(func(m *state.Machine) { q = m.CallerJobs().QueueFor(spec.Host, spec.Path) })
	return q
}

// refresh computes the backlog anew if that is due. It is called in each round with the starts that the
// round has decided on.
func (s *submissions) refresh(l *leaderState, m *jobqueue.Machine, starts []*apiv1.StartRun, now time.Time) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.flushIfDue(l.term, now)
	if s.term != l.term || !s.backlog.due(now) {
		return
	}
	var accepted []admission.Request
	for id, other := range s.inFlight {
		if other.request != nil && m.Job(id) == nil {
			accepted = append(accepted, *other.request)
		}
	}
	for job, until := range s.doubtful {
		if now.After(until) {
			delete(s.doubtful, job)
		}
	}
	s.backlog.refresh(l, m, starts, accepted, now)
}

// recordRunEnd records that a run did its work.
func (s *submissions) recordRunEnd(e schedule.EndedRun) {
	if s == nil || e.Kind != apiv1.RunEndKind_RUN_END_KIND_DONE {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backlog.recordEnd(e.Step)
}

// recordJobEnd records that a job finished, and whether it succeeded.
func (s *submissions) recordJobEnd(id string, succeeded bool, now time.Time) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.controller == nil {
		return
	}
	if !succeeded {
		s.controller.Forget(id)
		return
	}
	if estimate, since, known := s.controller.Expected(id); known {
		s.metrics.estimate.Observe(estimate)
		s.metrics.outcome.Observe(now.Sub(since))
	}
	s.controller.RecordEnd(id, now)
}

// AdmissionOf returns how many submissions of an account this leader refused, and the time until the
// next return of a refused caller of the account; both are 0 on a replica that does not lead.
func (d *Dispatcher) AdmissionOf(account string) (refused uint64, nextReturn time.Duration) {
	s := d.submissions
	if s == nil {
		return 0, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.controller == nil {
		return 0, 0
	}
	return s.controller.Account(account, s.opts.Now())
}
