package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/platform"
	"github.com/cairnlift/cairnlift/platform/platformtest"
)

// The words by which the test binary is one of the cluster's processes.
const (
	programArgument = "soak-program"
	workerArgument  = "soak-worker"
)

func TestMain(m *testing.M) {
	if len(os.Args) > 2 && os.Args[1] == programArgument {
		os.Exit(platform.Main(os.Args[2:]))
	}
	if len(os.Args) > 2 && os.Args[1] == workerArgument {
		os.Exit(workerMain(os.Args[2]))
	}
	os.Exit(m.Run())
}

func workerMain(settings string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	var s platformtest.WorkerSettings
	err := json.Unmarshal([]byte(settings), &s)
	if err == nil {
		err = platformtest.RunWorker(ctx, s, os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func testOptions(t *testing.T, workers int) Options {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Options{
		Folder: t.TempDir(), Program: []string{self, programArgument}, Worker: []string{self, workerArgument},
		Network: fmt.Sprintf("%d.251", 1+os.Getpid()%250), Workers: workers,
	}
}

func newTestCluster(t *testing.T, workers int) *cluster {
	c, err := newCluster(testOptions(t, workers))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.remove)
	if err := c.start(t.Context(), configuration(firstVersion)); err != nil {
		t.Fatal(err)
	}
	return c
}

// countRunning counts the tasks of a job that run now by the workers' lines.
func countRunning(t *testing.T, c *cluster, job string, tasks uint32) int {
	rec, err := readRecord(c.o.Folder, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	running := 0
	for i := range tasks {
		for _, r := range rec.runsOf(fmt.Sprintf("%s.0.0.%d", job, i)) {
			if r.outcome == "runs" {
				running++
			}
		}
	}
	return running
}

// TestTasksRestartAfterWorkersDie guards the whole way of a task that lasts through real processes.
func TestTasksRestartAfterWorkersDie(t *testing.T) {
	c := newTestCluster(t, 2)
	const job, tasks = "00000000000000aa", 4
	spec := platformtest.Job{
		Spec:  platformtest.Behavior{LongRunning: true}.Payload(),
		Steps: []platformtest.Step{{Count: tasks, CPU: 500, MemoryMB: 500, LongRunning: true}},
	}
	(&load{c: c}).runCaller(t.Context(), servingPath, job, spec, caller{})
	all := func() bool { return countRunning(t, c, job, tasks) == tasks }
	if err := c.waitUntil(t.Context(), "all tasks run", all); err != nil {
		t.Fatal(err)
	}
	c.hosts[0].worker.kill()
	c.hosts[1].worker.kill()
	if left := countRunning(t, c, job, tasks); left != 0 {
		t.Fatalf("%d tasks run on dead workers", left)
	}
	if err := c.hosts[0].worker.start(); err != nil {
		t.Fatal(err)
	}
	if err := c.waitUntil(t.Context(), "all tasks run again", all); err != nil {
		t.Fatal(err)
	}
}
