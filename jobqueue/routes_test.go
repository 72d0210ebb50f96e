package jobqueue_test

import (
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	urgentPrefix = "/q/urgent/"
	urgentJob    = "0123"
	urgentPath   = urgentPrefix + urgentJob
)

func queueAt(prefix string) *apiv1.JobQueue {
	return &apiv1.JobQueue{Name: "at " + prefix, Host: host, PathPrefix: prefix, Pool: pool, MaxAttempts: 2, TimeoutMs: 1000}
}

// routeChanges returns configurations that change which queue the path of a job below urgentPrefix selects.
func routeChanges() map[string]*apiv1.QueueConfiguration {
	changes := map[string]*apiv1.QueueConfiguration{
		"a shorter prefix takes the path":   configuration(3),
		"no prefix takes the path":          configuration(3, queueAt("/other/")),
		"a longer prefix takes the path":    configuration(3, queueAt(urgentPrefix), queueAt(urgentPrefix+"01")),
		"the queue has another name":        configuration(3, queueAt(urgentPrefix)),
		"the host is spelled another way":   configuration(3, queueAt(urgentPrefix)),
		"the host has no queue":             configuration(3),
		"the queue is not changed":          configuration(3, queueAt(urgentPrefix)),
		"the last queue of all was removed": {Version: 3, Pools: []*apiv1.WorkerPool{{Name: pool}}},
	}
	changes["no prefix takes the path"].Queues = changes["no prefix takes the path"].Queues[1:]
	changes["the queue has another name"].Queues[1].Name = "renamed"
	changes["the host is spelled another way"].Queues[1].Host = "QUEUES.example"
	changes["the host has no queue"].Queues[0].Host = "other.example"
	return changes
}

func (m *machine) submitAt(path, id string, steps ...*apiv1.JobStep) apiv1.JobOutcome {
	return m.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{
		Spec: &apiv1.JobSpec{Id: id, Host: host, Path: path, Steps: steps},
	}}})
}

func (m *machine) cancelAt(path, id string) apiv1.JobOutcome {
	return m.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Cancel{Cancel: &apiv1.CancelJob{Id: id, Host: host, Path: path}}})
}

// Guards against callers who lose an accepted job when a change of the configuration gives its path to
// another queue or to none: they are told that the job does not exist, can't cancel it, or are refused when
// they submit it again, and it runs on.
func TestCallersKeepTheirJobsWhenRoutesChange(t *testing.T) {
	for name, change := range routeChanges() {
		t.Run(name, func(t *testing.T) {
			m := newMachine()
			m.worker("w1", "h1", 1000)
			m.put(configuration(2, queueAt(urgentPrefix)))
			if outcome := m.submitAt(urgentPath, urgentJob, one(1), one(1, 0)); outcome != ok {
				t.Fatal(outcome)
			}
			if outcome := m.put(change); outcome != ok {
				t.Fatal(outcome)
			}
			m.restore(t)
			if j, outcome := m.Lookup(host, urgentPath, urgentJob); j == nil || outcome != ok || !j.Open() {
				t.Errorf("the job is %v, %v", j, outcome)
			}
			if outcome := m.submitAt(urgentPath, urgentJob, one(1), one(1, 0)); outcome != ok || len(m.Active()) != 1 {
				t.Errorf("repeated submission: %v, %d jobs", outcome, len(m.Active()))
			}
			if !m.start(task(urgentJob, 0, 0), 1, "w1") {
				t.Error("the job does not go on")
			}
			if outcome := m.cancelAt(urgentPath, urgentJob); outcome != ok {
				t.Errorf("cancel: %v", outcome)
			}
			m.end("w1", task(urgentJob, 0, 0), 1, done)
			if m.start(task(urgentJob, 1, 0), 1, "w1") {
				t.Error("the second step starts after the cancel")
			}
			m.restore(t)
			if j, _ := m.Lookup(host, urgentPath, urgentJob); j == nil || j.State != apiv1.JobState_JOB_STATE_CANCELED {
				t.Errorf("the job after its cancel is %v", j)
			}
			if outcome := m.cancelAt(urgentPath, urgentJob); outcome != ok {
				t.Errorf("repeated cancel: %v", outcome)
			}
		})
	}
}

// Guards against a job that is found where nobody submitted it, or a new one accepted by a route that was
// removed.
func TestJobsAreFoundAtTheirOwnPathOnly(t *testing.T) {
	m := newMachine()
	m.put(configuration(2, queueAt(urgentPrefix)))
	m.submitAt(urgentPath, urgentJob, one(1))
	for name, q := range map[string]struct{ host, path, id string }{
		"shorter prefix": {host, "/q/" + urgentJob, urgentJob},
		"other host":     {"other.example", urgentPath, urgentJob},
		"other case":     {host, "/Q/urgent/" + urgentJob, urgentJob},
		"other job":      {host, urgentPrefix + "4567", "4567"},
	} {
		j, outcome := m.Lookup(q.host, q.path, q.id)
		if none := outcome == apiv1.JobOutcome_JOB_OUTCOME_NO_JOB || outcome == apiv1.JobOutcome_JOB_OUTCOME_NO_QUEUE; j != nil || !none {
			t.Errorf("%s: %v, %v", name, j, outcome)
		}
	}
	m.put(&apiv1.QueueConfiguration{Version: 3, Pools: []*apiv1.WorkerPool{{Name: pool}}})
	noQueue := apiv1.JobOutcome_JOB_OUTCOME_NO_QUEUE
	if outcome := m.submitAt(urgentPrefix+"4567", "4567", one(1)); outcome != noQueue {
		t.Errorf("new job of the removed route: %v", outcome)
	}
	if _, outcome := m.Lookup(host, urgentPrefix+"4567", "4567"); outcome != noQueue {
		t.Errorf("unknown job of the removed route: %v", outcome)
	}
	if _, outcome := m.Pending(host, urgentPrefix, func(*jobqueue.Run) bool { return false }); outcome != noQueue {
		t.Errorf("pending jobs of the removed route: %v", outcome)
	}
}

// Guards against an acknowledgement of a job that is not stored: its ID belongs to a job at another path, and
// the caller is told afterwards that there is no such job.
func TestSubmissionWithTheIDOfAnotherJobIsRefused(t *testing.T) {
	m := newMachine()
	m.put(configuration(2, queueAt(urgentPrefix)))
	if outcome := m.submitAt(urgentPath, urgentJob, one(1)); outcome != ok {
		t.Fatal(outcome)
	}
	for range 2 {
		if outcome := m.submitAt("/q/"+urgentJob, urgentJob, one(1)); outcome != apiv1.JobOutcome_JOB_OUTCOME_INVALID {
			t.Errorf("submission at another path: %v", outcome)
		}
		if outcome := m.cancelAt("/q/"+urgentJob, urgentJob); outcome != apiv1.JobOutcome_JOB_OUTCOME_NO_JOB {
			t.Errorf("cancel at another path: %v", outcome)
		}
		if j, outcome := m.Lookup(host, urgentPath, urgentJob); j == nil || !j.Open() {
			t.Errorf("the job is %v, %v", j, outcome)
		}
		m.restore(t)
	}
}

// Guards against a job that runs after its caller was told that there is nothing to cancel: the cancel arrives
// before the submission and while another queue, or none, takes the path of the job.
func TestSubmissionAfterCancelWithoutItsRouteDoesNotRun(t *testing.T) {
	for name, change := range routeChanges() {
		t.Run(name, func(t *testing.T) {
			m := newMachine()
			m.worker("w1", "h1", 1000)
			m.put(change)
			if outcome := m.cancelAt(urgentPath, urgentJob); outcome == ok {
				t.Fatal("a job that nobody submitted is cancelled")
			}
			m.restore(t)
			m.put(configuration(4, queueAt(urgentPrefix)))
			if outcome := m.submitAt(urgentPath, urgentJob, one(1)); outcome != ok {
				t.Errorf("the submission after the cancel: %v", outcome)
			}
			if m.start(task(urgentJob, 0, 0), 1, "w1") {
				t.Error("the job starts")
			}
		})
	}
	m := &machine{Machine: jobqueue.New(), now: 1000, ends: map[string]uint64{}}
	if outcome := m.cancelAt(urgentPath, urgentJob); outcome != apiv1.JobOutcome_JOB_OUTCOME_NO_CONFIGURATION || len(m.Snapshot().Jobs) > 0 {
		t.Errorf("a cancel that is answered as not executed: %v, %d records", outcome, len(m.Snapshot().Jobs))
	}
}

// Guards against a removed queue whose jobs fall back to its configuration of when they were accepted: a job
// fails by a limit that was raised since, or its tasks start in the former pool.
func TestJobsOfARemovedQueueKeepItsLastConfiguration(t *testing.T) {
	const newPool = "new pool"
	for name, removed := range map[string]func(*machine){
		"removed":                      func(m *machine) { m.put(configuration(4)) },
		"removed, and restored before": func(m *machine) { m.restore(t); m.put(configuration(4)) },
		"removed, and restored since":  func(m *machine) { m.put(configuration(4)); m.restore(t) },
		"removed for two versions":     func(m *machine) { m.put(configuration(4)); m.put(configuration(5, queueAt("/other/"))) },
	} {
		t.Run(name, func(t *testing.T) {
			m := newMachine()
			m.worker("w1", "h1", 1000)
			moved := spec("w2", "h2", 1000)
			moved.Pool = newPool
			m.report(&apiv1.ReportWorker{Worker: moved})
			first := queueAt(urgentPrefix)
			first.MaxAttempts = 1
			m.put(configuration(2, first))
			m.submitAt(urgentPath, urgentJob, one(1))
			changed := configuration(3, queueAt(urgentPrefix))
			changed.Pools = append(changed.Pools, &apiv1.WorkerPool{Name: newPool})
			changed.Queues[1].Pool, changed.Queues[1].MaxAttempts = newPool, 3
			m.put(changed)
			if !m.start(task(urgentJob, 0, 0), 1, "w2") {
				t.Fatal("no start in the new pool")
			}
			m.end("w2", task(urgentJob, 0, 0), 1, failed)
			removed(m)
			if j := m.Job(urgentJob); !j.Open() || j.Queue.MaxAttempts != 3 {
				t.Errorf("the job is %v, with %d attempts", j.State, j.Queue.MaxAttempts)
			}
			if m.start(task(urgentJob, 0, 0), 2, "w1") {
				t.Error("the task starts in the former pool")
			}
			if !m.start(task(urgentJob, 0, 0), 2, "w2") {
				t.Error("the task does not start in the last pool")
			}
		})
	}
}

// Guards against jobs that no operator can hold: their queue was removed, and orders about it are refused.
func TestRemovedQueueWithOpenJobsCanBeHeld(t *testing.T) {
	m := newMachine()
	m.worker("w1", "h1", 1000)
	m.put(configuration(2, queueAt(urgentPrefix)))
	m.submitAt(urgentPath, urgentJob, one(1))
	m.put(configuration(3))
	m.restore(t)
	name := queueAt(urgentPrefix).Name
	if holds := m.Holds(); len(holds) != 2 || holds[0].Queue != name || holds[0].Held {
		t.Errorf("listed: %v", holds)
	}
	expect(t, "hold", m.hold(name, true, 0), accepted)
	if m.start(task(urgentJob, 0, 0), 1, "w1") {
		t.Error("a task of the held queue starts")
	}
	expect(t, "release", m.hold(name, false, 1), accepted)
	if !m.start(task(urgentJob, 0, 0), 1, "w1") {
		t.Error("no task starts after the release")
	}
	m.cancelAt(urgentPath, urgentJob)
	m.end("w1", task(urgentJob, 0, 0), 1, apiv1.RunEndKind_RUN_END_KIND_STOPPED)
	expect(t, "queue that is not known", m.hold("unknown", true, 0), apiv1.JobOutcome_JOB_OUTCOME_NO_QUEUE)
}
