package dependency_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/cairnlift/cairnlift/logging/dependency"
)

// Guards against a log that does not show when a process had no leader: with a line for each call,
// or with none. Hundreds of calls fail for three seconds, some are canceled by their caller, then
// calls are answered again.
func TestOneLinePerLossAndRecovery(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	now := time.Unix(100, 0)
	w := dependency.New("leader", zap.New(core), func() time.Time { return now })
	failed := errors.New("no answer")
	w.Record(failed)
	w.Record(nil) // single failed calls do not count as a loss
	now = now.Add(2 * time.Second)
	w.Record(failed)
	if lines.Len() != 0 {
		t.Fatalf("lines %v after single failed calls", lines.All())
	}
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		w.Record(failed)
		w.Record(errors.Wrap(context.Canceled, "call"))
	}
	w.Record(nil)
	w.Record(nil)
	all := lines.All()
	if len(all) != 2 || all[0].Message != "dependency lost" || all[1].Message != "dependency is back" {
		t.Fatalf("lines %v", all)
	}
	if outage := all[1].ContextMap()["away"]; outage != 3*time.Second {
		t.Errorf("the outage lasted %v", outage)
	}
}
