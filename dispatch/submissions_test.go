package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/cairnlift/cairnlift/admission"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/state"
)

// untilTrusted is more than a new leader observes the fleet before it estimates.
const untilTrusted = 8 * time.Second

// heavy returns a job of 6 core-seconds, which is of use for 4.5 s.
func heavy(id, account string) *apiv1.JobSpec {
	return &apiv1.JobSpec{Id: id, Host: simHost, Path: "/q/" + id, Account: account, Steps: []*apiv1.JobStep{
		{Count: 6, CpuMilli: 2000, MemoryMb: 100, EstimatedMs: 500},
	}}
}

func (s *sim) trySubmit(spec *apiv1.JobSpec) (*apiv1.Result, error) {
	return s.replica.ProposeLocal(s.ctx, &apiv1.Command{Body: &apiv1.Command_Jobs{Jobs: &apiv1.JobsCommand{
		Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: spec}},
	}}})
}

// fill submits jobs until one is refused, and returns the accepted and the refused one.
func (s *sim) fill(name, account string) (accepted, refused *apiv1.JobSpec) {
	s.t.Helper()
	for i := range 100 {
		spec := heavy(fmt.Sprint(name, i), account)
		s.watch.AddJob(spec)
		res, err := s.trySubmit(spec)
		switch {
		case err != nil:
			s.t.Fatal(err)
		case res.Job == apiv1.JobOutcome_JOB_OUTCOME_REFUSED && accepted != nil && res.RetryAfterMs > 0:
			return accepted, spec
		case res.Job != apiv1.JobOutcome_JOB_OUTCOME_OK:
			s.t.Fatalf("submission %d: %v", i, res)
		}
		accepted = spec
	}
	s.t.Fatal("no job is refused")
	return nil, nil
}

func (s *sim) logHolds(id string) (holds bool) {
	s.replica.ReadState(func(m *state.Machine) { holds = m.CallerJobs().Job(id) != nil })
	return holds
}

func outcomeOf(res *apiv1.Result, err error) string {
	var notLeader *control.NotLeaderError
	var unknown *control.UnknownError
	switch {
	case errors.As(err, &notLeader):
		return "not run"
	case errors.As(err, &unknown):
		return "unknown"
	case err != nil:
		return err.Error()
	}
	return res.Job.String()
}

// Guards against a refused job that runs, against an accepted job that is refused when its caller asks
// again, and against refusals that go on once the work is done.
func TestFullFleetRefusesNewJobsOnly(t *testing.T) {
	for _, mode := range []admission.Mode{admission.Estimate, admission.Off} {
		runSimWith(t, 1, 2, mode, func(t *testing.T, s *sim) {
			s.stopFaults()
			s.sleep(untilTrusted)
			if mode == admission.Off {
				for i := range 30 {
					s.submitJob(heavy(fmt.Sprint("off", i), "")) // fails the test if a job is refused
				}
				return
			}
			accepted, refused := s.fill("a", "a")
			if res, err := s.trySubmit(accepted); err != nil || res.Job != apiv1.JobOutcome_JOB_OUTCOME_OK {
				t.Errorf("an accepted job is answered %v, %v", res, err)
			}
			if s.logHolds(refused.Id) {
				t.Error("the log holds a refused job")
			}
			if n, next := s.dispatcher.AdmissionOf("a"); n != 1 || next <= 0 {
				t.Errorf("%d refused, next turn in %v", n, next)
			}
			if a := s.readAccount("a"); a.GetRefused() != 1 || a.GetNextTurnMs() <= 0 || a.GetShare() <= 0 {
				t.Errorf("the list of accounts shows %v", a)
			}
			s.sleep(20 * time.Second)
			if res, err := s.trySubmit(refused); err != nil || res.Job != apiv1.JobOutcome_JOB_OUTCOME_OK {
				t.Errorf("after the work is done: %v, %v", res, err)
			}
		})
	}
}

// Guards against the answer "refused" of a leader that is deposed between its decision and the answer,
// or between its decision and the proposal: another leader may have the job by then.
func TestLeaderLostAfterDecision(t *testing.T) {
	runSimWith(t, 1, 2, admission.Estimate, func(t *testing.T, s *sim) {
		s.stopFaults()
		s.sleep(untilTrusted)
		_, refused := s.fill("a", "")
		time.AfterFunc(2*time.Millisecond, func() { s.log.LoseLeadership(time.Second) })
		if o := outcomeOf(s.trySubmit(refused)); o != "not run" || s.logHolds(refused.Id) {
			t.Errorf("a refusal is answered %q", o)
		}
		s.sleep(20 * time.Second)
		accepted := heavy("accepted", "")
		s.watch.AddJob(accepted)
		s.log.CommitsUnconfirmed = func() bool { return true }
		time.AfterFunc(2*time.Millisecond, func() { s.log.LoseLeadership(time.Second) })
		if o := outcomeOf(s.trySubmit(accepted)); o != "unknown" {
			t.Errorf("an acceptance is answered %q", o)
		}
		s.sleep(2 * time.Second)
		if o := outcomeOf(s.trySubmit(accepted)); o != "JOB_OUTCOME_OK" {
			t.Errorf("the next leader answers %q", o)
		}
	})
}

// Guards against a leader without a quorum that refuses a job which the leader on the other side of the
// partition has accepted.
func TestLeaderWithoutQuorumRefusesNothing(t *testing.T) {
	runSimWith(t, 1, 2, admission.Estimate, func(t *testing.T, s *sim) {
		s.stopFaults()
		s.sleep(untilTrusted)
		_, refused := s.fill("a", "")
		s.connected.cutOff.Store(true)
		if o := outcomeOf(s.trySubmit(refused)); o != "not run" {
			t.Errorf("answered %q", o)
		}
		if s.lookup(refused.Id) != control.SubmissionInDoubt {
			t.Error("an entry may refuse a job by the word of a leader without a quorum")
		}
		s.connected.cutOff.Store(false)
		if o := outcomeOf(s.trySubmit(refused)); o != "JOB_OUTCOME_REFUSED" {
			t.Errorf("with a quorum: %q", o)
		}
	})
}

// Guards against a new leader that relies on turns and rates which it does not have: they begin anew,
// and the work of the accounts is read from the log.
func TestTurnsAndWorkAfterChangeOfLeader(t *testing.T) {
	runSimWith(t, 1, 2, admission.Estimate, func(t *testing.T, s *sim) {
		s.stopFaults()
		s.sleep(untilTrusted)
		_, refused := s.fill("a", "a")
		s.log.LoseLeadership(100 * time.Millisecond)
		s.sleep(500 * time.Millisecond)
		if n, next := s.dispatcher.AdmissionOf("a"); n != 0 || next != 0 {
			t.Errorf("the new leader knows of %d refusals and a turn in %v", n, next)
		}
		if o := outcomeOf(s.trySubmit(refused)); o != "JOB_OUTCOME_OK" {
			t.Errorf("without an estimate, and with a short delay: %q", o)
		}
		for i := range 40 { // several times what the fleet does until the leader estimates
			spec := heavy(fmt.Sprint("more", i), "a")
			s.watch.AddJob(spec)
			if o := outcomeOf(s.trySubmit(spec)); o != "JOB_OUTCOME_OK" {
				break
			}
		}
		s.sleep(untilTrusted)
		if o := outcomeOf(s.trySubmit(heavy("later", "a"))); o != "JOB_OUTCOME_REFUSED" {
			t.Errorf("with the work that the log holds: %q", o)
		}
	})
}

// Guards against two proposals of one job, and against a refusal while an earlier proposal of the job may
// still be committed.
func TestSubmissionsInFlightAndInDoubt(t *testing.T) {
	runSimWith(t, 1, 2, admission.Estimate, func(t *testing.T, s *sim) {
		s.stopFaults()
		s.sleep(untilTrusted)
		for want, err := range map[string]error{"JOB_OUTCOME_OK": nil, "unknown": &control.UnknownError{Cause: "lost"}} {
			spec := heavy("job "+want, "")
			proposals := 0
			propose := func(context.Context) (*apiv1.Result, error) {
				proposals++
				s.sleep(time.Second)
				if s.lookup(spec.Id) != control.SubmissionInDoubt {
					t.Error("a job that is being proposed is not in doubt")
				}
				return &apiv1.Result{Job: apiv1.JobOutcome_JOB_OUTCOME_OK}, err
			}
			var callers sync.WaitGroup
			for range 3 {
				callers.Go(func() {
					if o := outcomeOf(s.dispatcher.SubmitJob(s.ctx, spec, propose)); o != want {
						t.Errorf("answered %q, want %q", o, want)
					}
				})
			}
			callers.Wait()
			if proposals != 1 {
				t.Errorf("%d proposals", proposals)
			}
		}
		_, refused := s.fill("a", "")
		if s.lookup("job unknown") != control.SubmissionInDoubt || s.lookup(refused.Id) != control.SubmissionAbsent {
			t.Error("a job in doubt may be refused, or a refused one may not")
		}
		proposed := false
		res, err := s.dispatcher.SubmitJob(s.ctx, heavy("job unknown", ""), func(context.Context) (*apiv1.Result, error) {
			proposed = true
			return nil, &control.UnknownError{Cause: "lost again"}
		})
		if o := outcomeOf(res, err); !proposed || o != "unknown" {
			t.Errorf("a job in doubt is answered %q", o)
		}
	})
}

// Inputs of the history of one job.
const (
	jobOpSubmit = "submit"
	jobOpCancel = "cancel"
	jobOpState  = "state"
	jobOpLookup = "lookup"
)

type jobOp struct{ kind, job string }

// stepJob is the model of one job: absent, cancelled before it was submitted, open, canceled or done.
func stepJob(st, in, out any) []any {
	s, kind, result := st.(string), in.(jobOp).kind, out.(string)
	after := map[string]map[string]string{
		jobOpSubmit: {"absent": "open", "tombstone": "canceled", "open": "open", "canceled": "canceled", "done": "done"},
		jobOpCancel: {"absent": "tombstone", "tombstone": "tombstone", "open": "canceled", "canceled": "canceled", "done": "done"},
	}
	switch {
	case s == "open": // it may end at any time
		return append(stepJobFrom("open", kind, result, after), stepJobFrom("done", kind, result, after)...)
	default:
		return stepJobFrom(s, kind, result, after)
	}
}

func stepJobFrom(s, kind, result string, after map[string]map[string]string) []any {
	switch {
	case result == "unknown":
		return []any{s, after[kind][s]}
	case result == "not run":
		return []any{s}
	case kind == jobOpSubmit && result == "JOB_OUTCOME_REFUSED" && (s == "absent" || s == "tombstone"):
		return []any{s}
	case kind == jobOpSubmit && result == "JOB_OUTCOME_OK":
		return []any{after[kind][s]}
	case kind == jobOpCancel && result == "JOB_OUTCOME_OK" && (s == "open" || s == "canceled"):
		return []any{"canceled"}
	case kind == jobOpCancel && result == "JOB_OUTCOME_NO_JOB" && (s == "absent" || s == "tombstone" || s == "done"):
		return []any{after[kind][s]}
	case kind == jobOpLookup && (result == "none") == (s == "absent" || s == "tombstone"):
		return []any{s}
	case kind == jobOpState && (result == "none" && (s == "absent" || s == "tombstone") || result == s):
		return []any{s}
	}
	return nil
}

// lookup returns what the leader tells an entry that would refuse a job.
func (s *sim) lookup(id string) control.SubmissionState {
	states, err := s.dispatcher.LookupSubmissions(s.ctx, []control.SubmissionKey{{Host: simHost, Path: "/q/" + id, ID: id}})
	if err != nil {
		return control.SubmissionInDoubt
	}
	return states[0]
}

// jobState reads the state of a job in the words of the model; false if no leader confirmed it.
func (s *sim) jobState(id string) (string, bool) {
	resp, err := s.dispatcher.Read(s.ctx, &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_JOB, Host: simHost, Path: "/q/" + id, Id: id})
	switch {
	case err != nil || resp.Unconfirmed:
		return "", false
	case resp.Outcome == apiv1.JobOutcome_JOB_OUTCOME_NO_JOB:
		return "none", true
	case resp.Outcome != apiv1.JobOutcome_JOB_OUTCOME_OK:
		return resp.Outcome.String(), true
	}
	return map[apiv1.JobState]string{
		apiv1.JobState_JOB_STATE_QUEUED: "open", apiv1.JobState_JOB_STATE_RUNNING: "open",
		apiv1.JobState_JOB_STATE_CANCELED: "canceled", apiv1.JobState_JOB_STATE_SUCCEEDED: "done",
	}[resp.State], true
}

// jobHistoryModel is the model of the histories of jobs, each by itself.
func jobHistoryModel(step func(state, input, output any) []any) porcupine.Model {
	nondeterministic := porcupine.NondeterministicModel{
		Init: func() []any { return []any{"absent"} }, Step: step,
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byJob := map[string][]porcupine.Operation{}
			for _, op := range history {
				byJob[op.Input.(jobOp).job] = append(byJob[op.Input.(jobOp).job], op)
			}
			var parts [][]porcupine.Operation
			for _, part := range byJob {
				parts = append(parts, part)
			}
			return parts
		},
	}
	return nondeterministic.ToModel()
}

// checkJobHistory has eight callers submit, cancel, look up and read jobs while the leader changes a number of
// times, and checks what they were answered against a model.
func (s *sim) checkJobHistory(name string, model porcupine.Model, leaderChanges int, results map[string]int) {
	var mu sync.Mutex
	var history []porcupine.Operation
	var clients sync.WaitGroup
	for client := range 8 {
		clients.Go(func() {
			for range 60 {
				s.callJob(client, &mu, &history, results)
				s.sleep(time.Duration(s.intN(60)) * time.Millisecond)
			}
		})
	}
	for range leaderChanges {
		s.sleep(time.Duration(100+s.intN(400)) * time.Millisecond)
		s.log.LoseLeadership(time.Duration(s.intN(200)) * time.Millisecond)
	}
	clients.Wait()
	if porcupine.CheckOperations(model, history) {
		return
	}
	s.t.Errorf("%s: the history is not linearizable", name)
	for _, op := range history {
		s.t.Logf("%d..%d %v: %v", op.Call, op.Return, op.Input, op.Output)
	}
}

// Guards against a refusal of a job that was accepted, as callers see it: they submit, cancel and read
// jobs on a full fleet while the leader changes and proposals of deposed leaders are committed or lost.
func TestRefusalsAreLinearizable(t *testing.T) {
	model := jobHistoryModel(stepJob)
	results := map[string]int{}
	wanted := []string{"submit JOB_OUTCOME_OK", "submit JOB_OUTCOME_REFUSED", "submit unknown", "cancel JOB_OUTCOME_OK", "lookup none", "lookup known"}
	for seed := uint64(0); playsOn(seed, results, wanted); seed++ {
		runSimWith(t, seed, 2, admission.Estimate, func(t *testing.T, s *sim) {
			s.stopFaults()
			s.log.CommitsUnconfirmed = func() bool { return s.intN(2) == 0 }
			s.sleep(untilTrusted)
			s.checkJobHistory(fmt.Sprint("seed ", seed), model, 5, results)
		})
	}
	t.Log(results)
	for _, want := range wanted {
		if results[want] == 0 {
			t.Errorf("no operation had the result %q", want)
		}
	}
}

// playsOn reports whether a history of another seed is played: of minHistories in any case, and of up to
// maxHistories until each wanted result has occurred. Which operation meets a change of the leader is not fixed
// by the seed.
func playsOn(seed uint64, results map[string]int, wanted []string) bool {
	const minHistories, maxHistories = 15, 150
	lacks := slices.ContainsFunc(wanted, func(result string) bool { return results[result] == 0 })
	return seed < minHistories || lacks && seed < maxHistories
}

func (s *sim) callJob(client int, mu *sync.Mutex, history *[]porcupine.Operation, results map[string]int) {
	kinds := []string{jobOpSubmit, jobOpSubmit, jobOpSubmit, jobOpCancel, jobOpState, jobOpLookup}
	op := jobOp{kinds[s.intN(len(kinds))], fmt.Sprint("job", s.intN(30))}
	called := time.Now().UnixNano()
	var result string
	switch op.kind {
	case jobOpSubmit:
		result = outcomeOf(s.trySubmit(heavy(op.job, "")))
	case jobOpCancel:
		result = outcomeOf(s.replica.ProposeLocal(s.ctx, &apiv1.Command{Body: &apiv1.Command_Jobs{Jobs: &apiv1.JobsCommand{
			Body: &apiv1.JobsCommand_Cancel{Cancel: &apiv1.CancelJob{Id: op.job, Host: simHost, Path: "/q/" + op.job}},
		}}}))
	case jobOpLookup:
		state := s.lookup(op.job)
		if state == control.SubmissionInDoubt {
			return
		}
		result = map[control.SubmissionState]string{control.SubmissionAbsent: "none", control.SubmissionAccepted: "known"}[state]
	default:
		read, ok := s.jobState(op.job)
		if !ok {
			return
		}
		result = read
	}
	returned := time.Now().UnixNano()
	if result == "unknown" {
		returned = math.MaxInt64
	}
	mu.Lock()
	defer mu.Unlock()
	results[op.kind+" "+result]++
	*history = append(*history, porcupine.Operation{ClientId: client, Input: op, Call: called, Output: result, Return: returned})
}

// readAccount returns an account as the list of accounts shows it, nil if it does not.
func (s *sim) readAccount(name string) *apiv1.AccountRecord {
	resp, err := s.dispatcher.Read(s.ctx, &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_ACCOUNTS})
	if err != nil {
		s.t.Fatal(err)
	}
	for _, a := range resp.Accounts {
		if a.Name == name {
			return a
		}
	}
	return nil
}
