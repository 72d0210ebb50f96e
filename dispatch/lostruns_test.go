package dispatch_test

import (
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Guards against an agent that does not learn of starts which its predecessor sent and the leader gave up:
// the log forgets them with the worker's next report.
func TestLostRunsAreToldWhileTheirStartsMayBegin(t *testing.T) {
	runExpirySim(t, func(r *expiryHarness) {
		expectLost := func(when string, want int) {
			t.Helper()
			if lost := r.orders().LostRuns; len(lost) != want || want > 0 && (lost[0].Run != 1 || lost[0].Reserved.GetCpuMilli() != 100) {
				t.Errorf("%s the lost runs are %v, want %d", when, lost, want)
			}
		}
		expectLost("before the expiry", 0)
		r.expectExpiry(r.expiryReport(), apiv1.JobOutcome_JOB_OUTCOME_OK, 0)
		expectLost("after the expiry", 1)
		r.report(&apiv1.JobsReportRequest{})
		expectLost("after a report", 1)
		for range 14 {
			r.s.sleep(time.Second)
			r.report(&apiv1.JobsReportRequest{})
		}
		expectLost("14 s later", 1)
		for range 2 {
			r.s.sleep(time.Second)
			r.report(&apiv1.JobsReportRequest{})
		}
		expectLost("16 s later", 0)
	})
}
