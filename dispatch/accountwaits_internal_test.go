package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/schedule"
)

// Guards against lines about waiting accounts whose number or size grows with the accounts and the rounds, and
// against lines that omit the account that has waited longest.
func TestLinesAboutWaitingAccountsAreBounded(t *testing.T) {
	core, lines := observer.New(zap.DebugLevel)
	d := &Dispatcher{logger: zap.New(core), metrics: newMetricSet(metrics.NewRegistry())}
	l := &leaderState{planner: schedule.New()}
	now := time.Unix(1000, 0)
	for range 1000 {
		var waits []schedule.AccountWait
		for i := range 390 {
			share := schedule.AccountShare{Account: fmt.Sprintf("a%03d", i), Weight: 1}
			waits = append(waits, schedule.AccountWait{AccountShare: share, Tasks: 3, Waited: time.Duration(i) * time.Millisecond})
		}
		d.recordAccountWaits(l, jobqueue.New(), waits, now)
		now = now.Add(4 * time.Millisecond)
	}
	if lines.Len() != 2 || d.metrics.accountsWaiting.Value() != 390 {
		t.Fatalf("%d lines in 4 s, %d accounts counted", lines.Len(), d.metrics.accountsWaiting.Value())
	}
	waiting := lines.All()[0].ContextMap()[event.NameWaitingAccounts].([]any)
	if len(waiting) != maxLoggedAccounts || waiting[0] != "a389 0.000 1 3 389" {
		t.Errorf("waiting accounts %v", waiting)
	}
}
