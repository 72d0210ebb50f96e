package jobclient_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobclient"
)

// intermittentLeader is a control host that confirms reads only while it leads.
type intermittentLeader struct {
	apiv1.Jobs
	leads atomic.Bool
}

func (h *intermittentLeader) Read(context.Context, *apiv1.JobsReadRequest) (*apiv1.JobsReadResponse, error) {
	return &apiv1.JobsReadResponse{Unconfirmed: !h.leads.Load(), Outcome: apiv1.JobOutcome_JOB_OUTCOME_OK}, nil
}

// Symptom: an entry's log does not say from when to when it was without a leader.
// Sequence: the group has no leader for some reads, then it has one.
// Cause: only the calls that fail have lines, if any.
func TestLostLeaderIsLogged(t *testing.T) {
	host := &intermittentLeader{}
	server := httptest.NewServer(apiv1.NewJobsServer(host))
	defer server.Close()
	core, lines := observer.New(zapcore.InfoLevel)
	client := jobclient.New([]string{strings.TrimPrefix(server.URL, "http://")}, zap.New(core))
	read := func() {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, _ = client.Read(ctx, &apiv1.JobsReadRequest{}) // the lines tell how it went
	}
	for lines.FilterMessage("dependency lost").Len() == 0 {
		read()
	}
	host.leads.Store(true)
	for lines.FilterMessage("dependency is back").Len() == 0 {
		read()
	}
	for _, l := range lines.All() {
		if l.ContextMap()["dependency"] != "leader" {
			t.Errorf("line %v", l)
		}
	}
	if lines.Len() != 2 {
		t.Errorf("%d lines", lines.Len())
	}
}
