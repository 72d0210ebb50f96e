package fakes

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// Guards against a stand-in that is stricter with late starts than LeaseDecidesDeadline says.
func TestLeaseDecidesDeadlineOfStart(t *testing.T) {
	for _, c := range []struct {
		name         string
		leaseDecides bool
		leaseMs      int64
		want         runs.Answer
	}{
		{"start's own deadline", false, 5000, runs.AnswerDeadlinePassed},
		{"lease", true, 5000, runs.AnswerDone},
		{"expired lease", true, 1500, runs.AnswerDeadlinePassed},
		{"no lease", true, 0, runs.AnswerDeadlinePassed},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				checker := NewRunChecker()
				checker.AddJob(&apiv1.JobSpec{Id: "j", Steps: []*apiv1.JobStep{{Count: 1}}})
				w := NewRunWorker(&apiv1.JobWorker{Id: "w"}, checker)
				w.LeaseDecidesDeadline = c.leaseDecides
				begin := w.ClockMs()
				order := runs.Order{Incarnation: "w"}
				if c.leaseMs > 0 {
					if _, _, err := w.Renew(context.Background(), order, runs.Renewal{DeadlineMs: begin + c.leaseMs}); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(2 * time.Second)
				run := jobqueue.RunID{Task: jobqueue.TaskID{Job: "j"}, Number: 1}
				answer, err := w.Start(context.Background(), order, runs.Start{Run: run, DeadlineMs: begin + 1000})
				if err != nil || answer != c.want {
					t.Errorf("answer %v, want %v; %v", answer, c.want, err)
				}
			})
		})
	}
}
