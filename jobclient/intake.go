package jobclient

import (
	"cmp"
	"container/list"
	"context"
	"fmt"
	"hash/maphash"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
)

const (
	// maxSubmissions bounds the submissions that a process sends at a time, maxWaiting those that wait
	// to be sent, and maxWaitingPerAccount those of one account. A leader commits several hundred
	// submissions a second, so that all of them are sent within a caller's deadline.
	maxSubmissions       = 64
	maxWaiting           = 512
	maxWaitingPerAccount = 64
	// verdictAge is how long a process refuses jobs by the leader's last word that the queue is full.
	verdictAge  = 500 * time.Millisecond
	maxVerdicts = 4096
	// minRetryAfter is the least Retry-After of a job that is refused here.
	minRetryAfter = time.Second
	// doubtRetention is the time after an unknown outcome in which the job is not refused here.
	doubtRetention = time.Minute
	// maxDoubtful bounds the jobs that are not refused here. While there are so many, none is.
	maxDoubtful = 1 << 16
)

// intake bounds the submissions in progress, fairly between accounts, and refuses jobs while the
// leader's last word is that the queue is full for all jobs like them. It refuses a job only if the leader
// does not know it: another entry may have submitted it before.
type intake struct {
	now func() time.Time
	// lookup asks the leader for the state of a job.
	lookup  func(context.Context, *apiv1.JobSpec) control.SubmissionState
	refused metrics.Counter
	waiting metrics.Gauge

	mu       sync.Mutex
	sending  int
	accounts map[string]*list.List // of *ticket, by account
	// order lists the accounts with waiting submissions, the next one to be served first.
	order    *list.List
	total    int
	verdicts map[verdictKey]verdict
	// inProgress counts the submissions of each job that wait or are being sent. doubtful are the jobs
	// that may be committed, and until when they are kept.
	inProgress map[string]int
	doubtful   map[string]time.Time
}

// ticket is a submission that waits to be sent; ready is closed once it may be.
type ticket struct {
	ready   chan struct{}
	granted bool
}

// verdictKey identifies the jobs that a verdict is about: those of an account and queue with the same
// steps, whose estimates are the same.
type verdictKey struct {
	account, host, queue string
	steps                uint64
}

var stepsSeed = maphash.MakeSeed()

type verdict struct {
	at         time.Time
	retryAfter time.Duration
	cause      string
}

// BoundSubmissions bounds the submissions in progress and refuses jobs by the leader's last verdict. It
// must be called before the first use. Without it, all submissions are sent at once.
func (c *Client) BoundSubmissions(registry metrics.Registry) {
	c.intake = newIntake(registry, time.Now, func(ctx context.Context, spec *apiv1.JobSpec) control.SubmissionState {
		return c.LookupSubmission(ctx, spec.Host, spec.Path, spec.Id)
	})
}

func newIntake(registry metrics.Registry, now func() time.Time, lookup func(context.Context, *apiv1.JobSpec) control.SubmissionState) *intake {
	return &intake{
		now: now, lookup: lookup, accounts: map[string]*list.List{}, order: list.New(), verdicts: map[verdictKey]verdict{},
		inProgress: map[string]int{}, doubtful: map[string]time.Time{},
		refused: metrics.GetOrRegisterCounter("admission.refused_here", registry),
		waiting: metrics.GetOrRegisterGauge("admission.waiting_here", registry),
	}
}

func keyOf(spec *apiv1.JobSpec) verdictKey {
	var steps maphash.Hash
	steps.SetSeed(stepsSeed)
	for _, s := range spec.Steps {
		fmt.Fprintln(&steps, s.Count, s.EstimatedMs, s.CpuMilli, s.Backfill, s.LongRunning, s.Image, s.After)
	}
	return verdictKey{
		account: spec.Account, host: spec.Host, queue: strings.TrimSuffix(spec.Path, spec.Id), steps: steps.Sum64(),
	}
}

// submit sends a submission once that is its turn. Errors are those of send, *control.RefusedError for a
// job that was not sent and *control.UnavailableError if ctx ended before it was.
func (i *intake) submit(ctx context.Context, spec *apiv1.JobSpec, send func() (apiv1.JobOutcome, error)) (apiv1.JobOutcome, error) {
	t, err := i.enter(spec)
	if err != nil {
		return i.confirm(ctx, spec, err)
	}
	select {
	case <-t.ready:
	case <-ctx.Done():
		if i.abandon(spec, t) {
			return apiv1.JobOutcome_JOB_OUTCOME_UNSPECIFIED, &control.UnavailableError{RetryAfter: minRetryAfter, Cause: "the submission waited here and was not sent"}
		}
	}
	outcome, err := send()
	i.leave(spec, outcome, err)
	return outcome, err
}

// confirm returns the outcome of a submission that was not let in with an error.
func (i *intake) confirm(ctx context.Context, spec *apiv1.JobSpec, err error) (apiv1.JobOutcome, error) {
	var refused *control.RefusedError
	if !errors.As(err, &refused) {
		return apiv1.JobOutcome_JOB_OUTCOME_UNSPECIFIED, err
	}
	switch i.lookup(ctx, spec) {
	case control.SubmissionAccepted:
		return apiv1.JobOutcome_JOB_OUTCOME_OK, nil
	case control.SubmissionAbsent:
		i.refused.Inc(1)
		return apiv1.JobOutcome_JOB_OUTCOME_REFUSED, err
	}
	return apiv1.JobOutcome_JOB_OUTCOME_UNSPECIFIED, &control.UnknownError{Cause: refused.Cause + ", and an earlier submission may have been accepted"}
}

// enter lets a submission wait to be sent, or refuses it.
func (i *intake) enter(spec *apiv1.JobSpec) (*ticket, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	if err := i.refuseByVerdict(spec, now); err != nil {
		return nil, err
	}
	t := &ticket{ready: make(chan struct{})}
	if i.sending < maxSubmissions && i.total == 0 {
		i.sending++
		i.inProgress[spec.Id]++
		t.granted = true
		close(t.ready)
		return t, nil
	}
	queue := i.accounts[spec.Account]
	if i.total >= maxWaiting || queue != nil && queue.Len() >= maxWaitingPerAccount {
		return nil, i.refusal(spec, now, verdict{at: now, cause: "too many submissions wait here"})
	}
	if queue == nil {
		queue = list.New()
		i.accounts[spec.Account] = queue
		i.order.PushBack(spec.Account)
	}
	queue.PushBack(t)
	i.inProgress[spec.Id]++
	i.setTotal(i.total + 1)
	return t, nil
}

// refuseByVerdict returns the error for a job that the leader would refuse, nil if it is to be sent. A job
// that may be committed is always sent.
func (i *intake) refuseByVerdict(spec *apiv1.JobSpec, now time.Time) error {
	key := keyOf(spec)
	v, found := i.verdicts[key]
	if !found {
		return nil
	}
	if now.Sub(v.at) >= verdictAge {
		delete(i.verdicts, key)
		return nil
	}
	if i.mayBeCommitted(spec.Id, now) {
		return nil
	}
	return i.refusal(spec, now, v)
}

// refusal returns the error for a job that is not sent. It doesn't say that the job was not run if an
// earlier submission of it may be committed.
func (i *intake) refusal(spec *apiv1.JobSpec, now time.Time, v verdict) error {
	if i.mayBeCommitted(spec.Id, now) {
		return &control.UnknownError{Cause: v.cause + ", and an earlier submission may be committed"}
	}
	// The times are spread over as long again, since the leader's was for one caller.
	after := max(minRetryAfter, v.retryAfter)
	return &control.RefusedError{RetryAfter: after + rand.N(after), Cause: v.cause, Full: true}
}

// mayBeCommitted reports whether an earlier submission of a job may be in the log.
func (i *intake) mayBeCommitted(job string, now time.Time) bool {
	return i.inProgress[job] > 0 || now.Before(i.doubtful[job]) || len(i.doubtful) >= maxDoubtful
}

// abandon removes a waiting submission, and returns false if it is already being sent.
func (i *intake) abandon(spec *apiv1.JobSpec, t *ticket) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t.granted {
		return false
	}
	queue := i.accounts[spec.Account]
	for e := queue.Front(); e != nil; e = e.Next() {
		if e.Value == t {
			queue.Remove(e)
			break
		}
	}
	i.dropIfEmpty(spec.Account)
	i.setTotal(i.total - 1)
	i.endOne(spec.Id)
	return true
}

// leave records the outcome of a submission and lets the next one be sent: accounts take turns.
func (i *intake) leave(spec *apiv1.JobSpec, outcome apiv1.JobOutcome, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.endOne(spec.Id)
	i.record(spec, outcome, err)
	i.sending--
	next := i.order.Front()
	if next == nil {
		return
	}
	account := next.Value.(string)
	queue := i.accounts[account]
	t := queue.Remove(queue.Front()).(*ticket)
	i.order.MoveToBack(next)
	i.dropIfEmpty(account)
	i.setTotal(i.total - 1)
	i.sending++
	t.granted = true
	close(t.ready)
}

func (i *intake) dropIfEmpty(account string) {
	if i.accounts[account].Len() > 0 {
		return
	}
	delete(i.accounts, account)
	for e := i.order.Front(); e != nil; e = e.Next() {
		if e.Value == account {
			i.order.Remove(e)
			return
		}
	}
}

func (i *intake) endOne(job string) {
	if i.inProgress[job]--; i.inProgress[job] <= 0 {
		delete(i.inProgress, job)
	}
}

func (i *intake) setTotal(n int) {
	i.total = n
	i.waiting.Update(int64(n))
}

// record keeps what an outcome says about the job and about others like it.
func (i *intake) record(spec *apiv1.JobSpec, outcome apiv1.JobOutcome, err error) {
	now := i.now()
	var refused *control.RefusedError
	var unavailable *control.UnavailableError
	switch {
	case errors.As(err, &refused):
		if refused.Full && len(i.verdicts) < maxVerdicts {
			i.verdicts[keyOf(spec)] = verdict{at: now, retryAfter: refused.RetryAfter, cause: cmp.Or(refused.Cause, "the queue is full")}
		}
	case errors.As(err, &unavailable):
	case err != nil:
		i.keepDoubtful(spec.Id, now)
	case outcome == apiv1.JobOutcome_JOB_OUTCOME_OK:
		delete(i.doubtful, spec.Id)
		delete(i.verdicts, keyOf(spec))
	}
	if len(i.verdicts) >= maxVerdicts {
		clear(i.verdicts)
	}
}

// keepDoubtful keeps a job that may be committed. If there are too many, those whose time is over are
// dropped.
func (i *intake) keepDoubtful(job string, now time.Time) {
	if len(i.doubtful) >= maxDoubtful {
		maps.DeleteFunc(i.doubtful, func(_ string, until time.Time) bool { return now.After(until) })
	}
	if len(i.doubtful) < maxDoubtful {
		i.doubtful[job] = now.Add(doubtRetention)
	}
}
