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

// TestLostLeaderIsLogged guards against an entry's log that does not show from when to when there
// was no leader. The group has no leader during some reads, then it has one. The fault occurs if
// log lines, if any, are written only for the failing calls.
func TestLostLeaderIsLogged(t *testing.T) {
	host := &intermittentLeader{}
	server := httptest.NewServer(apiv1.NewJobsServer(host))
	defer server.Close()
	core, lines := observer.New(zapcore.InfoLevel)
	client := jobclient.New([]string{strings.TrimPrefix(server.URL, "http://")}, zap.New(core))
	read := func() {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, _ = client.Read(ctx, &apiv1.JobsReadRequest{}) // the log lines show the result
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
			t.Errorf("unexpected log line %v", l)
		}
	}
	if lines.Len() != 2 {
		t.Errorf("%d log lines, want 2", lines.Len())
	}
}
