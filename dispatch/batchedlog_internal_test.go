package dispatch

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/trace"
)

// Guards against lines that are longer than collectors take. They were cut at 8 KiB, with the starts
// of 200 runs on workers with long names, and the record lacked all of these starts.
func TestLinesFitIntoCollectors(t *testing.T) {
	const lineLimit, runs = 8 << 10, 1000
	log := &bytes.Buffer{}
	config := zap.NewProductionEncoderConfig()
	config.NameKey, config.EncodeTime = "part", zapcore.RFC3339NanoTimeEncoder
	logger := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.AddSync(log), zap.InfoLevel))
	g := newBatchedLog(logger)
	now := time.UnixMilli(1)
	outages := map[string][]string{}
	for n := range runs {
		id := jobqueue.RunID{Task: jobqueue.TaskID{Job: fmt.Sprintf("%016x", n), Index: uint32(n)}, Number: 1}
		worker := fmt.Sprintf("i-0ac439a11d-%03d@1783106446484", n%300)
		g.addStart(1, worker, id, now)
		g.addEnd(1, worker, id, now)
		outages["memory 3"] = append(outages["memory 3"], fmt.Sprintf("%s 1 %s 12345 lease ran out", id.Task, worker))
	}
	g.flush(1, now)
	for _, part := range splitLists(outages) {
		event.LongRunningOutage.Write(logger, event.Term(1), event.TasksNotRunning(part))
	}
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	for _, l := range lines {
		if len(l) >= lineLimit {
			t.Errorf("a line of %d bytes: %.80s", len(l), l)
		}
	}
	read, err := trace.Read(log, "leader")
	if err != nil || len(read) != 3*runs {
		t.Errorf("%d events are read, want %d; %v", len(read), 3*runs, err)
	}
	if most := 60; len(lines) > most {
		t.Errorf("%d lines, want at most %d", len(lines), most)
	}
}
