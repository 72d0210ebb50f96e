package cli

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobapi"
)

// fakeControlGroup lists two hosts and takes moves to the pool batch.
type fakeControlGroup struct {
	jobapi.Backend
	requestedMoves []string
}

func (g *fakeControlGroup) Read(context.Context, *apiv1.JobsReadRequest) (*apiv1.JobsReadResponse, error) {
	return &apiv1.JobsReadResponse{Outcome: apiv1.JobOutcome_JOB_OUTCOME_OK, Hosts: []*apiv1.HostRecord{
		{Host: "h1", Pool: "web", Up: true, Worker: "w1", Move: &apiv1.HostMove{Pool: "web", State: apiv1.MoveState_MOVE_STATE_DONE}},
		{Host: "h2", Pool: "reserve"},
	}}, nil
}

func (g *fakeControlGroup) RequestMove(_ context.Context, r *apiv1.RequestMove) (apiv1.JobOutcome, error) {
	g.requestedMoves = append(g.requestedMoves, r.Host+" to "+r.Pool)
	if r.Pool != "batch" {
		return apiv1.JobOutcome_JOB_OUTCOME_NO_POOL, nil
	}
	return apiv1.JobOutcome_JOB_OUTCOME_OK, nil
}

func TestHostListAndMove(t *testing.T) {
	g := &fakeControlGroup{}
	s := httptest.NewServer(jobapi.Handler(g))
	defer s.Close()
	for _, c := range []struct {
		args     string
		code     int
		out, err string
	}{
		{"host list", 0, "h1\tweb\tup\tw1\tto web: done\nh2\treserve\taway\t-\t-\n", ""},
		{"host move h1 batch", 0, "accepted\n", ""},
		{"host move h1 nosuch", 1, "", "no such pool"},
		{"host move h9 batch", 1, "", `no host "h9"`},
		{"host move h1", 2, "", "pool"},
	} {
		var out, complaint bytes.Buffer
		a := New()
		a.Stdout, a.Stderr = &out, &complaint
		code := a.Run(t.Context(), append([]string{"-a", strings.TrimPrefix(s.URL, "http://")}, strings.Fields(c.args)...))
		if code != c.code || out.String() != c.out || !strings.Contains(complaint.String(), c.err) {
			t.Errorf("%s: code %d, %q, %q", c.args, code, out.String(), complaint.String())
		}
	}
	if got := strings.Join(g.requestedMoves, ", "); got != "h1 to batch, h1 to nosuch" {
		t.Errorf("asked for %s", got)
	}
}
