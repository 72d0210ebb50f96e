package dispatch_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/admission"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/dispatch"
)

// BenchmarkReportsUnderFlood measures reports of a worker without submissions, and beside 256 callers
// that submit without a pause to a full fleet.
func BenchmarkReportsUnderFlood(b *testing.B) {
	for _, callers := range []int{0, 256} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) { benchmarkReports(b, callers) })
	}
}

func benchmarkReports(b *testing.B, callers int) {
	var d *dispatch.Dispatcher
	replica := control.NewReplica(control.Config{
		OnApplied: func() { d.Applied() },
		SubmitJob: func(ctx context.Context, spec *apiv1.JobSpec, propose control.ProposeFunc) (*apiv1.Result, error) {
			return d.SubmitJob(ctx, spec, propose)
		},
	})
	d = dispatch.New(dispatch.Options{Replica: replica, Admission: admission.Estimate})
	replica.Attach(control.NewMemoryLog(replica, ""))
	ctx, stop := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	defer loops.Wait()
	defer stop()
	loops.Go(func() { d.Run(ctx) })
	propose := func(c *apiv1.JobsCommand) (*apiv1.Result, error) {
		return replica.ProposeLocal(ctx, &apiv1.Command{Body: &apiv1.Command_Jobs{Jobs: c}})
	}
	if _, err := propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutQueues{PutQueues: &apiv1.PutQueues{Configuration: &apiv1.QueueConfiguration{
		Version: 1, Pools: []*apiv1.WorkerPool{{Name: simPool}},
		Queues: []*apiv1.JobQueue{{Name: "q", Host: simHost, PathPrefix: "/q/", Pool: simPool, MaxAttempts: 4, Stretch: 2, AllowanceMs: 500, TimeoutMs: 1000}},
	}}}}); err != nil {
		b.Fatal(err)
	}
	report := func(sequence uint64) {
		_, err := d.Report(ctx, &apiv1.JobsReportRequest{
			Worker: &apiv1.JobWorker{Id: "w", Host: "h", Pool: simPool, CpuMilli: 8000, MemoryMb: 8000}, Session: 1, Sequence: sequence,
		})
		if err != nil {
			b.Fatal(err)
		}
	}
	for sequence := range uint64(60) { // until the leader estimates
		report(sequence + 1)
		time.Sleep(100 * time.Millisecond)
	}
	var number, refused, accepted atomic.Int64
	for range callers {
		loops.Go(func() {
			for ctx.Err() == nil {
				res, err := propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{
					Spec: heavy(fmt.Sprint("job", number.Add(1)), ""),
				}}})
				switch {
				case err != nil:
				case res.Job == apiv1.JobOutcome_JOB_OUTCOME_REFUSED:
					refused.Add(1)
				default:
					accepted.Add(1)
				}
			}
		})
	}
	var took []time.Duration
	sequence := uint64(100)
	began := time.Now()
	for b.Loop() {
		sequence++
		start := time.Now()
		report(sequence)
		took = append(took, time.Since(start))
		time.Sleep(time.Millisecond)
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "report-p99-us")
	b.ReportMetric(float64(refused.Load())/time.Since(began).Seconds(), "refused/s")
	b.ReportMetric(float64(accepted.Load()), "accepted")
}
