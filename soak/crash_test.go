package soak

import (
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/platform/platformtest"
)

const (
	// crashMs is how long after its start the task crashes its worker.
	crashMs = 8
	// mostCrashes is how many workers a task may crash: three, and two more starts.
	mostCrashes = 5
	// restartPause is how long a crashed worker is away.
	restartPause = 500 * time.Millisecond
)

// TestTaskThatCrashesWorkerProcessesIsGivenUp guards against a task that ends one worker process after the other.
func TestTaskThatCrashesWorkerProcessesIsGivenUp(t *testing.T) {
	c := newTestCluster(t, 3)
	l := &load{c: c}
	const lasting, crashing, tasks = "00000000000000ab", "00000000000000ac", 3
	l.call(t.Context(), servingPath, lasting, platformtest.Job{
		Spec:  platformtest.Behavior{LongRunning: true}.Payload(),
		Steps: []platformtest.Step{{Count: tasks, CPU: 500, MemoryMB: 500, LongRunning: true}},
	}, caller{})
	all := func() bool { return runningOf(t, c, lasting, tasks) == tasks }
	if err := c.until(t.Context(), "the lasting tasks run", all); err != nil {
		t.Fatal(err)
	}
	l.call(t.Context(), batchPath, crashing, platformtest.Job{
		Spec:  platformtest.Behavior{WorkMs: 60_000, CrashMs: crashMs}.Payload(),
		Steps: []platformtest.Step{{Count: 1, CPU: 500, MemoryMB: 500, EstimatedMs: 1000}},
	}, caller{})
	failed := func() bool {
		for _, h := range c.hosts {
			if h.worker.hasEnded() {
				sleep(t.Context(), restartPause)
				if err := h.worker.start(); err != nil {
					t.Fatal(err)
				}
			}
		}
		_, state, err := c.client.State(t.Context(), l.entry(0), queueHost, batchPath+crashing)
		return err == nil && state == "failed"
	}
	if err := c.until(t.Context(), "the job is given up", failed); err != nil {
		t.Fatal(err)
	}
	rec, err := readRecord(c.o.Folder, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if n := len(rec.runsOf(crashing + ".0.0.0")); n > mostCrashes {
		t.Errorf("the task crashed %d workers", n)
	}
	if err := c.until(t.Context(), "the lasting tasks run again", all); err != nil {
		t.Fatal(err)
	}
}

// hasEnded reports whether the process was started and has ended.
func (p *process) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && !p.running()
}
