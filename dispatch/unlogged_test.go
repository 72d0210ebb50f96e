package dispatch_test

import (
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Guards against a run that goes on though the log does not hold it: its task may run elsewhere too.
func TestUnloggedRunsAreStopped(t *testing.T) {
	runExpirySim(t, func(r *expiryHarness) {
		r.expectExpiry(r.expiryReport(), apiv1.JobOutcome_JOB_OUTCOME_OK, 0)
		r.renew()
		if stops := r.orders().Stops; len(stops) != 1 || stops[0].Run != 1 {
			t.Errorf("stops %v, want that of run 1", stops)
		}
		before := r.orders().Sequence
		r.report(&apiv1.JobsReportRequest{})
		if o := r.orders(); len(o.Stops) != 0 || o.Sequence == before {
			t.Errorf("stops %v once nothing is listed, as sequence %d after %d", o.Stops, o.Sequence, before)
		}
	})
}

func (r *expiryHarness) orders() *apiv1.JobsOrdersResponse {
	r.t.Helper()
	resp, err := r.s.dispatcher.Orders(r.s.ctx, &apiv1.JobsOrdersRequest{Worker: "w1"})
	if err != nil {
		r.t.Fatal(err)
	}
	return resp
}
