package logging

import (
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// Symptom: a decision can't be found in the log, or debug lines fill the disk.
// Sequence: thousands of equal lines within a second. Cause: one rate bound for
// every level, or none.
func TestOnlyDebugLinesAreSampled(t *testing.T) {
	core, lines := observer.New(zapcore.DebugLevel)
	log := zap.New(newSampledDebug(messageOnlyErrors{core})).Named("part").With(zap.Int("n", 1))
	const count = 1000
	for range count {
		log.Debug("entry not reached")
		log.Info("request decided")
		log.Warn("leases ran out", zap.Error(errors.New("with a stack trace")))
	}
	if n := lines.FilterMessage("request decided").Len(); n != count {
		t.Errorf("%d of %d decisions are in the log", n, count)
	}
	if n := lines.FilterMessage("entry not reached").Len(); n == 0 || n > count/2 {
		t.Errorf("%d of %d debug lines are in the log", n, count)
	}
	for _, line := range lines.FilterMessage("leases ran out").All() {
		if got := line.ContextMap()["error"]; got != "with a stack trace" {
			t.Fatalf("error is logged as %v", got)
		}
	}
}
