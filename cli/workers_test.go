package cli

import (
	"context"
	"net/http/httptest"
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobapi"
)

// fakeWorkers knows two workers, if it rates them.
type fakeWorkers struct {
	jobapi.Backend
	rated bool
}

func (f fakeWorkers) Read(_ context.Context, r *apiv1.JobsReadRequest) (*apiv1.JobsReadResponse, error) {
	resp := &apiv1.JobsReadResponse{Outcome: apiv1.JobOutcome_JOB_OUTCOME_OK, WorkersRated: f.rated}
	if f.rated && r.Kind == apiv1.JobsReadKind_JOBS_READ_KIND_WORKERS {
		resp.Workers = []*apiv1.WorkerRateRecord{
			{Worker: "w1", AvailabilityZone: "north", Rate: 0.126, Uncertainty: 0.11, Samples: 7.5, Reason: "worker"}, {Worker: "w2", Rate: 1, Uncertainty: 0.7},
		}
	}
	return resp, nil
}

// Guards against an empty list that reads as a fleet without slow workers while none are rated.
func TestWorkersCommand(t *testing.T) {
	for _, c := range []struct {
		rated bool
		commandCase
	}{
		{true, commandCase{"workers", 0, "w1\tnorth\trate 0.13\tuncertainty 0.11\t7.5 runs\tworker\nw2\t-\trate 1.00\tuncertainty 0.70\t0.0 runs\t-\n", ""}},
		{false, commandCase{"workers", 0, "the leader does not rate workers (--worker-rates off)\n", ""}},
	} {
		s := httptest.NewServer(jobapi.Handler(fakeWorkers{rated: c.rated}))
		c.check(t, s.URL)
		s.Close()
	}
}
