package soak

import (
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/platform/platformtest"
)

const (
	// crashAfterMs is how long after its start the task crashes its worker.
	crashAfterMs = 8
	// maxCrashes is how many workers a task may crash: three, and two more starts.
	maxCrashes = 5
	// restartDelay is how long a crashed worker is away.
	restartDelay = 500 * time.Millisecond
)

// TestCrashLimitFailsJob guards against a task that ends one worker process after the other.
func TestCrashLimitFailsJob(t *testing.T) {
	c := newTestCluster(t, 3)
	l := &load{c: c}
	const lasting, crashing, tasks = "00000000000000ab", "00000000000000ac", 3
	l.runCaller(t.Context(), servingPath, lasting, platformtest.Job{
		Spec:  platformtest.Behavior{LongRunning: true}.Payload(),
		Steps: []platformtest.Step{{Count: tasks, CPU: 500, MemoryMB: 500, LongRunning: true}},
	}, caller{})
	all := func() bool { return countRunning(t, c, lasting, tasks) == tasks }
	if err := c.waitUntil(t.Context(), "the lasting tasks run", all); err != nil {
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
	if err := c.waitUntil(t.Context(), "the job is given up", failed); err != nil {
		t.Fatal(err)
	}
	rec, err := readRecord(c.o.Folder, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if n := len(rec.runsOf(crashing + ".0.0.0")); n > maxCrashes {
		t.Errorf("the task crashed %d workers", n)
	}
	if err := c.waitUntil(t.Context(), "the lasting tasks run again", all); err != nil {
		t.Fatal(err)
	}
}

// hasEnded reports whether the process was started and has ended.
func (p *process) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && !p.running()
}
