package soak

import (
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/platform/platformtest"
)

const (
	// crashAfterMs is the time from the start of a run until the task crashes its worker.
	crashAfterMs = 8
	// maxCrashes is the highest permitted number of runs of the task: the crash limit of three, and two
	// further starts.
	maxCrashes = 5
	// restartDelay is the time from the detection of a worker's crash until the worker is restarted.
	restartDelay = 500 * time.Millisecond
)

// TestCrashLimitFailsJob guards against a task that crashes one worker process after another because its
// job does not fail at the crash limit.
func TestCrashLimitFailsJob(t *testing.T) {
	c := newTestCluster(t, 3)
	l := &load{c: c}
	const longRunning, crashing, tasks = "00000000000000ab", "00000000000000ac", 3
	l.runCaller(t.Context(), servingPath, longRunning, platformtest.Job{
		Spec:  platformtest.Behavior{LongRunning: true}.Payload(),
		Steps: []platformtest.Step{{Count: tasks, CPU: 500, MemoryMB: 500, LongRunning: true}},
	}, caller{})
	all := func() bool { return countRunning(t, c, longRunning, tasks) == tasks }
	if err := c.waitUntil(t.Context(), "the long-running tasks run", all); err != nil {
		t.Fatal(err)
	}
	l.runCaller(t.Context(), batchPath, crashing, platformtest.Job{
		Spec:  platformtest.Behavior{WorkMs: 60_000, CrashMs: crashAfterMs}.Payload(),
		Steps: []platformtest.Step{{Count: 1, CPU: 500, MemoryMB: 500, EstimatedMs: 1000}},
	}, caller{})
	failed := func() bool {
		for _, h := range c.hosts {
			if h.worker.hasEnded() {
				sleep(t.Context(), restartDelay)
				if err := h.worker.start(); err != nil {
					t.Fatal(err)
				}
			}
		}
		_, state, err := c.client.State(t.Context(), l.entryIP(0), queueHost, batchPath+crashing)
		return err == nil && state == "failed"
	}
	if err := c.waitUntil(t.Context(), "the job fails at the crash limit", failed); err != nil {
		t.Fatal(err)
	}
	rec, err := readRecord(c.o.Folder, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if n := len(rec.runsOf(crashing + ".0.0.0")); n > maxCrashes {
		t.Errorf("the task ran on %d workers, more than the crash limit permits", n)
	}
	if err := c.waitUntil(t.Context(), "the long-running tasks run again", all); err != nil {
		t.Fatal(err)
	}
}

// hasEnded reports whether the process was started and has ended.
func (p *process) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && !p.running()
}
