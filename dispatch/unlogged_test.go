package dispatch_test

import (
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Guards against a run that continues though the log does not contain it: its task may also run
// elsewhere.
func TestUnloggedRunsAreStopped(t *testing.T) {
	runExpirySim(t, func(r *expiryHarness) {
		r.expectExpiry(r.expiryReport(), apiv1.JobOutcome_JOB_OUTCOME_OK, 0)
		r.renew()
		if stops := r.orders().Stops; len(stops) != 1 || stops[0].Run != 1 {
			t.Errorf("the stops are %v, want the stop of run 1", stops)
		}
		sequenceBefore := r.orders().Sequence
		r.report(&apiv1.JobsReportRequest{})
		if o := r.orders(); len(o.Stops) != 0 || o.Sequence == sequenceBefore {
			t.Errorf("the stops are %v once no run is listed, with sequence %d after %d", o.Stops, o.Sequence, sequenceBefore)
		}
	})
}

// Guards against a run that has to end and goes on, because its row in the worker's list can't be read and
// the order to stop it is withdrawn.
func TestUnloggedRunIsStoppedUntilACompleteListLacksIt(t *testing.T) {
	runExpirySim(t, func(r *expiryHarness) {
		r.expectExpiry(r.expiryReport(), apiv1.JobOutcome_JOB_OUTCOME_OK, 0)
		r.renew()
		r.report(&apiv1.JobsReportRequest{Partial: true})
		if stops := r.orders().Stops; len(stops) != 1 || stops[0].Run != 1 {
			t.Errorf("the stops are %v after a partial list, want the stop of run 1", stops)
		}
		r.report(&apiv1.JobsReportRequest{})
		if stops := r.orders().Stops; len(stops) != 0 {
			t.Errorf("the stops are %v once no run is listed", stops)
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
