package jobclient

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
)

const (
	ok      = apiv1.JobOutcome_JOB_OUTCOME_OK
	refused = apiv1.JobOutcome_JOB_OUTCOME_REFUSED
)

var errFull = &control.RefusedError{RetryAfter: 4 * time.Second, Cause: "too late", Full: true}

// absent is the state of a job that the leader does not know.
func absent(context.Context, *apiv1.JobSpec) control.SubmissionState { return control.SubmissionAbsent }

func job(id, account string) *apiv1.JobSpec {
	return &apiv1.JobSpec{Id: id, Host: "h", Path: "/q/" + id, Account: account, Steps: []*apiv1.JobStep{{Count: 10, CpuMilli: 1000, EstimatedMs: 500}}}
}

// Guards against a flood that fills an entry's memory or takes the place of other accounts: the
// submissions in progress are bounded, all others are answered at once, and accounts take turns.
func TestFloodOfOneAccountIsBounded(t *testing.T) {
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		i := newIntake(metrics.NewRegistry(), time.Now, absent)
		var mu sync.Mutex
		sending, most, answers := 0, 0, map[string]int{}
		var callers sync.WaitGroup
		submit := func(n int, account string) {
			outcome, err := i.submit(t.Context(), job(fmt.Sprint(account, n), account), func() (apiv1.JobOutcome, error) {
				mu.Lock()
				sending++
				most = max(most, sending)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
				mu.Lock()
				sending--
				mu.Unlock()
				return ok, nil
			})
			mu.Lock()
			defer mu.Unlock()
			answers[fmt.Sprint(account, " ", outcome, " ", err == nil)]++
		}
		// The leader takes 640 submissions a second; the flood brings 6,400.
		for n := range 6400 {
			callers.Go(func() { submit(n, "flood") })
			if n%64 == 0 {
				callers.Go(func() { submit(n, "steady") })
			}
			time.Sleep(time.Second / 6400)
			i.mu.Lock()
			total, jobs, flood := i.total, len(i.inProgress), i.accounts["flood"]
			tooMany := total > maxWaiting || flood != nil && flood.Len() > maxWaitingPerAccount || jobs > maxSubmissions+maxWaiting
			i.mu.Unlock()
			if tooMany {
				t.Fatalf("%d wait, %d jobs in progress", total, jobs)
			}
		}
		callers.Wait()
		t.Log(answers)
		if most > maxSubmissions || answers["steady JOB_OUTCOME_OK true"] != 100 || answers["flood JOB_OUTCOME_REFUSED false"] < 5000 {
			t.Errorf("%d at a time; %v", most, answers)
		}
		if i.total+i.sending+len(i.accounts)+i.order.Len()+len(i.inProgress)+len(i.doubtful) != 0 {
			t.Errorf("left over: %+v", i)
		}
	})
}

// Guards against an entry that refuses by an old verdict, or refuses a job that may be committed, or is of
// another account or has other steps; and against one that decides on repeats and first tries differently.
func TestVerdictIsUsedForShortTimeAndLikeJobsOnly(t *testing.T) {
	now := time.UnixMilli(0)
	i := newIntake(metrics.NewRegistry(), func() time.Time { return now }, absent)
	try := func(spec *apiv1.JobSpec, outcome apiv1.JobOutcome, err error) (sent bool, got error) {
		_, got = i.submit(t.Context(), spec, func() (apiv1.JobOutcome, error) {
			sent = true
			return outcome, err
		})
		return sent, got
	}
	must := func(what string, want bool, spec *apiv1.JobSpec, outcome apiv1.JobOutcome, err error) {
		t.Helper()
		if sent, _ := try(spec, outcome, err); sent != want {
			t.Errorf("%s: sent %v", what, sent)
		}
	}
	must("unknown outcome", true, job("doubtful", "a"), 0, &control.UnknownError{})
	must("first", true, job("first", "a"), refused, errFull)
	now = now.Add(verdictAge / 2)
	sent, err := try(job("like", "a"), ok, nil)
	var r *control.RefusedError
	if sent || !errors.As(err, &r) || r.RetryAfter < errFull.RetryAfter {
		t.Errorf("a job like the refused one: sent %v, %v", sent, err)
	}
	must("repeat of the refused job", false, job("first", "a"), refused, errFull)
	must("job in doubt", true, job("doubtful", "a"), 0, &control.UnknownError{})
	must("other account", true, job("x", "b"), refused, &control.RefusedError{RetryAfter: time.Second})
	must("verdict of one job only", true, job("y", "b"), ok, nil)
	large := job("large", "a")
	large.Steps[0].Count = 1000
	must("other size", true, large, ok, nil)
	slightlyLarger := job("larger", "a")
	slightlyLarger.Steps[0].EstimatedMs++
	must("nearly the same size", true, slightlyLarger, ok, nil)
	now = now.Add(verdictAge)
	must("old verdict", true, job("like", "a"), ok, nil)
	must("after an acceptance", true, job("next", "a"), ok, nil)
}

// Guards against "not run" for a job that an earlier submission through this entry may still add, where
// the entry has no room for the second one; and against a caller that gives up while it waits and is not
// told that nothing was sent.
func TestAnswersWithoutRoom(t *testing.T) {
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		i := newIntake(metrics.NewRegistry(), time.Now, absent)
		block := make(chan struct{})
		var callers sync.WaitGroup
		for n := range maxSubmissions + maxWaitingPerAccount {
			callers.Go(func() {
				_, _ = i.submit(t.Context(), job(fmt.Sprint(n), "a"), func() (apiv1.JobOutcome, error) { <-block; return ok, nil })
			})
			synctest.Wait()
		}
		var unknown *control.UnknownError
		if _, err := i.submit(t.Context(), job("0", "a"), nil); !errors.As(err, &unknown) {
			t.Errorf("a job in progress: %v", err)
		}
		var refusal *control.RefusedError
		if _, err := i.submit(t.Context(), job("new", "a"), nil); !errors.As(err, &refusal) {
			t.Errorf("a new job: %v", err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var unavailable *control.UnavailableError
		if _, err := i.submit(ctx, job("waits", "b"), nil); !errors.As(err, &unavailable) {
			t.Errorf("a job that was not sent in time: %v", err)
		}
		close(block)
		callers.Wait()
		if i.total+i.sending+len(i.accounts)+i.order.Len()+len(i.inProgress) != 0 {
			t.Errorf("left over: %+v", i)
		}
	})
}
