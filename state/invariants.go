package state

import (
	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Check compares every index with the records that it follows from, and returns
// the first invariant that does not hold. Its cost grows with the whole state:
// it runs when a snapshot is restored and in tests. The cheap checks at each
// grant and release run always and panic.
func (m *Machine) Check() error {
	if err := m.checkTasks(); err != nil {
		return err
	}
	if err := m.checkWorkers(); err != nil {
		return err
	}
	if err := m.checkTeams(); err != nil {
		return err
	}
	if err := m.checkJobs(); err != nil {
		return err
	}
	return m.checkClaims()
}

func (m *Machine) checkTasks() error {
	for id, t := range m.tasks {
		holds := t.state == apiv1.TaskState_TASK_STATE_GRANTED || t.state == apiv1.TaskState_TASK_STATE_STOPPING
		switch {
		case holds != t.live():
			return errors.Newf("a task holds room exactly while it is granted or stopping: %s", id)
		case t.live() && (t.workerIndex < 0 || t.workerIndex >= len(t.worker.tasks) || t.worker.tasks[t.workerIndex] != t):
			return errors.Newf("a live attempt is listed at its worker: %s", id)
		case t.live() && t.attempt == 0:
			return errors.Newf("a live attempt has a number: %s", id)
		case t.state == apiv1.TaskState_TASK_STATE_QUEUED && (t.job.canceled || t.surplus()):
			return errors.Newf("a canceled task is not queued: %s", id)
		case t.state == apiv1.TaskState_TASK_STATE_GRANTED && (t.job.canceled || t.surplus()):
			return errors.Newf("a canceled task is being stopped: %s", id)
		}
	}
	return nil
}

func (m *Machine) checkWorkers() error {
	for name, w := range m.workers {
		var sum Resources
		for _, t := range w.tasks {
			var ok bool
			if sum, ok = sum.plus(t.grant); !ok || t.worker != w {
				return errors.Newf("a worker's grants add up: %s", name)
			}
		}
		if sum != w.granted {
			return errors.Newf("a worker's granted room is the sum of its live grants: %s", name)
		}
	}
	return nil
}

func (m *Machine) checkTeams() error {
	granted := map[string]Resources{}
	queued := map[string]int{}
	for id, t := range m.tasks {
		name := t.job.definition.Team
		if t.live() {
			sum, ok := granted[name].plus(t.grant)
			if !ok {
				return errors.Newf("a team's grants add up: %q", name)
			}
			granted[name] = sum
		}
		should := t.state == apiv1.TaskState_TASK_STATE_QUEUED && !t.job.removed && m.waitsFor(t.job) == ""
		if should != (t.queueIndex != noIndex) {
			return errors.Newf("a task is in its team's queue exactly while it may be placed: %s", id)
		}
		if !should {
			continue
		}
		queued[name]++
		if q := m.teams[name].queue; t.queueIndex >= len(q) || q[t.queueIndex] != t {
			return errors.Newf("a queued task is at its place in the queue: %s", id)
		}
	}
	for name, t := range m.teams {
		if t.granted != granted[name] || len(t.queue) != queued[name] {
			return errors.Newf("a team's room and queue follow from its tasks: %q", name)
		}
	}
	return nil
}

func (m *Machine) checkJobs() error {
	for name, j := range m.jobs {
		if j.removed || j.definition.Name != name {
			return errors.Newf("a current job is in the configuration: %s", j.id)
		}
		if err := j.checkCounts(); err != nil {
			return err
		}
	}
	for _, j := range m.removedJobs {
		if !j.removed || j.live() == 0 {
			return errors.Newf("a removed job is kept only while an attempt is live: %s", j.id)
		}
		if err := j.checkCounts(); err != nil {
			return err
		}
	}
	return nil
}

func (j *job) checkCounts() error {
	var counts [taskStateCount]int
	remaining := 0
	for _, t := range j.tasks {
		counts[t.state]++
		if t.countsAsRemaining() {
			remaining++
		}
	}
	if counts != j.taskCounts || remaining != j.remaining {
		return errors.Newf("a job's counts follow from its tasks: %s", j.id)
	}
	return nil
}

func (m *Machine) checkClaims() error {
	size, responses := 0, 0
	for _, c := range m.claims.byKey {
		if c.record.Response != nil {
			responses++
			size += responseSize(c.record.Response)
		}
		if m.claims.cleanupHeap[c.heapIndex] != c {
			return errors.Newf("a claim is at its place in the clean-up order: %q", c.record.Key)
		}
	}
	if size != m.claims.responseBytes || responses != m.claims.responseCount {
		return errors.New("the stored responses' sizes add up")
	}
	if size > MaxTotalResponseBytes || len(m.claims.byKey) > MaxClaims {
		return errors.New("claims stay within their bounds")
	}
	return nil
}
