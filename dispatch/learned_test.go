package dispatch_test

import (
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/state"
)

// Guards against losing what a leader learned when the leader changes. The tail latencies of
// serving tasks exceeded their objectives for seconds after each election, though the previous
// leader had learned how a backfill image affects the serving image next to it.
func TestLearnedPressuresSurviveLeaderChange(t *testing.T) {
	runSim(t, 1, 0, func(t *testing.T, s *sim) {
		worker := &apiv1.JobWorker{Id: "w1", Host: "h1", Pool: simPool, CpuMilli: 32_000, MemoryMb: 64_000}
		report := func(running ...*apiv1.RunObservation) {
			t.Helper()
			if _, err := s.dispatcher.Report(s.ctx, &apiv1.JobsReportRequest{Worker: worker, Running: running}); err != nil {
				t.Fatal(err)
			}
		}
		s.sleep(time.Second)
		report()
		s.propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: &apiv1.JobSpec{
			Id: "j1", Host: simHost, Path: "/q/j1", Steps: []*apiv1.JobStep{
				{Count: 1, CpuMilli: 6000, MemoryMb: 100, LongRunning: true, Image: "serving", TailObjectiveMs: 100},
				{Count: 1, CpuMilli: 6000, MemoryMb: 100, Backfill: true, Image: "heavy", EstimatedMs: 60_000},
			},
		}}}})
		for range 10 {
			s.sleep(500 * time.Millisecond)
			report(
				&apiv1.RunObservation{Task: &apiv1.TaskRef{Job: "j1"}, Run: 1, Percent: 100, Figure: 90},
				&apiv1.RunObservation{Task: &apiv1.TaskRef{Job: "j1", Step: 1}, Run: 1, Percent: 10, Figure: 6000},
			)
		}
		s.log.LoseLeadership(time.Second)
		s.replica.ReadState(func(m *state.Machine) {
			pressures := m.CallerJobs().Learned().GetPressures()
			if len(pressures) != 1 || pressures[0].Mean < 0.1 {
				t.Errorf("the next leader learned pressures %v, want one with a mean of at least 0.1", pressures)
			}
		})
	})
}

// Guards against an explanation without reasons, because the reasons of the last round were not
// kept: one task of a step runs, and no worker has the memory for the other one.
func TestExplanationListsRunsAndWaits(t *testing.T) {
	runSim(t, 1, 0, func(t *testing.T, s *sim) {
		s.sleep(time.Second)
		if _, err := s.dispatcher.Report(s.ctx, &apiv1.JobsReportRequest{Worker: &apiv1.JobWorker{
			Id: "w1", Host: "h1", Pool: simPool, CpuMilli: 32_000, MemoryMb: 1000,
		}}); err != nil {
			t.Fatal(err)
		}
		s.propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: &apiv1.JobSpec{
			Id: "j1", Host: simHost, Path: "/q/j1", Steps: []*apiv1.JobStep{{Count: 2, CpuMilli: 100, MemoryMb: 600}},
		}}}})
		s.sleep(300 * time.Millisecond)
		resp, err := s.dispatcher.Read(s.ctx, &apiv1.JobsReadRequest{Kind: apiv1.JobsReadKind_JOBS_READ_KIND_EXPLANATION, Id: "j1"})
		if err != nil {
			t.Fatal(err)
		}
		e := resp.GetExplanation()
		running := e.GetJob().GetOccurrences()[0].GetSteps()[0].GetTasks()[0].GetRuns()
		if len(running) != 1 || running[0].Worker != "w1" {
			t.Errorf("the first task has the runs %v, want one on w1", running)
		}
		if len(e.GetWaits()) != 1 || e.Waits[0].Tasks != 1 || e.Waits[0].Workers != "memory 1" {
			t.Errorf("the waits are %v, want one task for memory", e.GetWaits())
		}
	})
}
