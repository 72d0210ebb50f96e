package jobapi_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/jobapi"
)

// Guards against a client that reports "not accepted" after an attempt at another address that may still be
// committed, and against one that reports "unknown" although no attempt can be.
func TestClientReportsRefusalAfterUnknownOutcomeAsUnknown(t *testing.T) {
	const ok, unavailable, limit, unknown, absent = http.StatusOK, http.StatusServiceUnavailable, http.StatusTooManyRequests,
		http.StatusGatewayTimeout, http.StatusNotFound
	serve := func(h http.Handler) string {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	respond := func(o apiv1.JobOutcome, err error) string {
		return serve(jobapi.Handler(&fakeBackend{outcome: o, err: err, read: &apiv1.JobsReadResponse{Outcome: o}}))
	}
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	addresses := map[string]string{
		"accepts":     respond(apiv1.JobOutcome_JOB_OUTCOME_OK, nil),
		"at limit":    respond(apiv1.JobOutcome_JOB_OUTCOME_OVER_LIMIT, nil),
		"held":        respond(apiv1.JobOutcome_JOB_OUTCOME_HELD, nil),
		"full":        respond(apiv1.JobOutcome_JOB_OUTCOME_FULL, nil),
		"no queue":    respond(apiv1.JobOutcome_JOB_OUTCOME_NO_QUEUE, nil),
		"invalid":     respond(apiv1.JobOutcome_JOB_OUTCOME_INVALID, nil),
		"unavailable": respond(0, &control.UnavailableError{Cause: "no leader"}),
		"unknown":     respond(0, errors.New("the response was lost")),
		"closed":      closed.Listener.Addr().String(),
		"ends": serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler) // the client gets no response
		})),
	}
	for _, c := range []struct {
		servers []string
		want    int
	}{
		{[]string{"unknown", "at limit"}, unknown},
		{[]string{"unknown", "held"}, unknown},
		{[]string{"unknown", "full"}, unknown},
		{[]string{"unknown", "no queue"}, unknown},
		{[]string{"unknown", "unavailable"}, unknown},
		{[]string{"unknown", "closed"}, unknown},
		{[]string{"unknown", "unavailable", "at limit"}, unknown},
		{[]string{"ends", "at limit"}, unknown},
		{[]string{"ends", "held"}, unknown},
		{[]string{"ends", "unavailable"}, unknown},
		{[]string{"unknown", "accepts"}, ok},
		{[]string{"ends", "accepts"}, ok},
		{[]string{"unknown", "invalid"}, http.StatusBadRequest},
		{[]string{"closed", "at limit"}, limit},
		{[]string{"unavailable", "at limit"}, limit},
		{[]string{"unavailable", "no queue"}, absent},
		{[]string{"closed", "unavailable"}, unavailable},
	} {
		client := &jobapi.Client{HTTP: &http.Client{}}
		for _, name := range c.servers {
			client.Addresses = append(client.Addresses, addresses[name])
		}
		if got := status(t, client.Submit(t.Context(), []byte(goodJob))); got != c.want {
			t.Errorf("%v: status %d, want %d", c.servers, got, c.want)
		}
	}
	read := &jobapi.Client{HTTP: &http.Client{}, Addresses: []string{addresses["ends"], addresses["no queue"]}}
	if _, err := read.Read(t.Context(), "h", "/q/j"); status(t, err) != absent {
		t.Errorf("a read, which commits nothing: %v", err)
	}
}
