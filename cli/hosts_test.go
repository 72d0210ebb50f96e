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

// fakeControlGroup lists two hosts and accepts moves to the pool batch only.
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

// Checks the output and the exit codes of the host commands.
func TestHostListAndMove(t *testing.T) {
	g := &fakeControlGroup{}
	s := httptest.NewServer(jobapi.Handler(g))
	defer s.Close()
	for _, c := range []commandCase{
		{"host list", 0, "h1\tweb\tup\tw1\tto web: done\nh2\treserve\taway\t-\t-\n", ""},
		{"host move h1 batch", 0, "accepted\n", ""},
		{"host move h1 nosuch", 1, "", "no such pool"},
		{"host move h9 batch", 1, "", `no host "h9"`},
		{"host move h1", 2, "", "pool"},
	} {
		c.check(t, s.URL)
	}
	if got := strings.Join(g.requestedMoves, ", "); got != "h1 to batch, h1 to nosuch" {
		t.Errorf("requested moves: %s", got)
	}
}

// commandCase is a command line with its exit code, its output and a part of its error output.
type commandCase struct {
	args     string
	code     int
	out, err string
}

// check runs the command at a server.
func (c commandCase) check(t *testing.T, url string) {
	t.Helper()
	var out, errOut bytes.Buffer
	a := New()
	a.Stdout, a.Stderr = &out, &errOut
	code := a.Run(t.Context(), append([]string{"--operator", "me", "-a", strings.TrimPrefix(url, "http://")}, strings.Fields(c.args)...))
	if code != c.code || out.String() != c.out || !strings.Contains(errOut.String(), c.err) {
		t.Errorf("%s: code %d, %q, %q", c.args, code, out.String(), errOut.String())
	}
}
