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

// Symptom: nothing says from when to when a process was without its leader.
// Sequence: calls fail for three seconds, hundreds of them, one is given up by its
// caller, then they are answered. Cause: a line for each call, or none.
func TestOneLinePerLossAndRecovery(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	now := time.Unix(100, 0)
	w := dependency.New("leader", zap.New(core), func() time.Time { return now })
	failed := errors.New("no answer")
	w.Record(failed)
	w.Record(nil) // a call that fails now and then is no loss
	now = now.Add(2 * time.Second)
	w.Record(failed)
	if lines.Len() != 0 {
		t.Fatalf("%v after single calls that failed", lines.All())
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
	if away := all[1].ContextMap()["away"]; away != 3*time.Second {
		t.Errorf("away for %v", away)
	}
}
