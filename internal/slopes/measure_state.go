package main

import (
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/configdelta"
	"github.com/cairnlift/cairnlift/state"
)

// machine is a state machine to which commands are applied in order, as the log does.
type machine struct {
	*state.Machine
	index uint64
}

func newMachine() *machine { return &machine{Machine: state.New()} }

func (m *machine) apply(cmd *apiv1.Command) *apiv1.Result {
	m.index++
	return m.Apply(m.index, cmd)
}

func (m *machine) mustApply(cmd *apiv1.Command) {
	if res := m.apply(cmd); res.Verdict != apiv1.Verdict_VERDICT_ACCEPTED {
		panic("state machine refused a valid command: " + res.Message)
	}
}

func (m *machine) mustGrant(grants ...*apiv1.Grant) {
	for _, g := range m.apply(placeCommand(grants...)).Grants {
		if g.Verdict != apiv1.Verdict_VERDICT_ACCEPTED {
			panic("state machine refused a valid grant: " + g.Message)
		}
	}
}

// fleetState returns the state of n workers that run 7 tasks each, those of job i on worker i.
func fleetState(n int) *machine {
	m := newMachine()
	m.mustApply(submit(1, 0, configuration(n, leasesPerWorker, 0, teams)))
	for i := range n {
		m.mustApply(register(i))
		for k := range leasesPerWorker {
			m.mustGrant(grant(i, i, k, 1))
		}
	}
	return m
}

// measureStateMachine measures the replicated state.
func (r *recorder) measureStateMachine() {
	r.measureStateHeap()
	r.measureApply()
	r.measureSubmissions()
	r.measureSnapshots()
}

func (r *recorder) measureStateHeap() {
	r.measure("heapWorker", "state: registered workers that run nothing", "B", "worker", workerSizes, func(n int) float64 {
		return retainedHeap(func() any {
			m := newMachine()
			for i := range n {
				m.mustApply(register(i))
			}
			return m
		})
	})
	r.measure("heapTask", "state: queued tasks of one job", "B", "task", taskSizes, func(n int) float64 {
		return retainedHeap(func() any {
			m := newMachine()
			m.mustApply(submit(1, 0, configuration(1, n, 0, 0)))
			return m
		})
	})
	r.measure("heapJob", "state: jobs of one task each, and their text", "B", "job", jobSizes, func(n int) float64 {
		return retainedHeap(func() any {
			m := newMachine()
			m.mustApply(submit(1, 0, configuration(n, 1, 0, 0)))
			return m
		})
	})
	r.measure("heapTeam", "state: teams with one service each", "B", "team", teamSizes, func(n int) float64 {
		return retainedHeap(func() any {
			m := newMachine()
			m.mustApply(submit(1, 0, configuration(0, 1, n, n)))
			return m
		})
	})
	r.measure("heapClaim", "state: settled claims, a response of 200 bytes each", "B", "claim", taskSizes, func(n int) float64 {
		return retainedHeap(func() any {
			m := newMachine()
			for i := range n {
				m.apply(claim(i))
				m.apply(settle(i))
			}
			return m
		})
	})
}

func (r *recorder) measureApply() {
	r.measure("applyGrant", "state: a grant and its end, in batches of a worker's 7, all workers once", "ns", "task", taskSizes, func(n int) float64 {
		workers := n / leasesPerWorker
		m := fleetState(workers)
		attempt := uint64(1)
		return costPerCall(func() {
			for i := range workers {
				m.mustApply(recordStops(i, leasesPerWorker, attempt))
				var grants []*apiv1.Grant
				for k := range leasesPerWorker {
					grants = append(grants, grant(i, i, k, attempt+1))
				}
				m.mustGrant(grants...)
			}
			attempt++
		})
	})
	r.measure("applyClaim", "state: a claim and its settlement", "ns", "claim", taskSizes, func(n int) float64 {
		return costPerCall(func() {
			m := newMachine()
			for i := range n {
				m.apply(claim(i))
				m.apply(settle(i))
			}
		})
	})
}

// measureSubmissions measures the steps of a submission: parsing the operators' text, making
// the delta and applying it.
func (r *recorder) measureSubmissions() {
	r.measure("applySubmit", "state: a submission, by jobs that stand in the text", "ns", "job", jobSizes, func(n int) float64 {
		m := newMachine()
		c := configuration(n, 1, 0, 0)
		count := 0
		return costPerCall(func() {
			next := &apiv1.Configuration{Jobs: c.Jobs, Text: c.Text, TextDigest: c.TextDigest}
			m.mustApply(submit(count, uint64(count), next))
			count++
		})
	})
	r.measure("applyDelta", "state: a submission by delta, 8 jobs replaced, by jobs that stand in the text", "ns", "job", jobSizes, func(n int) float64 {
		old, new := jobWindow(0, n), jobWindow(jobsPerChange, n)
		there, back := configdelta.Diff(old, new), configdelta.Diff(new, old)
		m := newMachine()
		m.mustApply(submit(0, 0, old))
		count := uint64(1)
		return costPerCall(func() {
			m.mustApply(submitDelta(int(count), count, there))
			m.mustApply(submitDelta(int(count)+1, count+1, back))
			count += 2
		}) / 2
	})
	r.measure("makeDelta", "making that delta", "ns", "job", jobSizes, func(n int) float64 {
		old, new := jobWindow(0, n), jobWindow(jobsPerChange, n)
		return costPerCall(func() { configdelta.Diff(old, new) })
	})
	r.measure("parseJob", "operators' API: parsing and checking a text", "ns", "job", jobSizes, func(n int) float64 {
		text := configuration(n, 1, 0, 0).Text
		return costPerCall(func() { compile([]byte(text)) })
	})
}

func (r *recorder) measureSnapshots() {
	states := map[int]*machine{}
	for _, n := range workerSizes {
		states[n] = fleetState(n)
	}
	r.measure("snapshotB", "a snapshot: workers with 7 running tasks, one job each, 390 teams", "B", "worker", workerSizes, func(n int) float64 {
		data, err := states[n].Snapshot()
		must(err)
		return float64(len(data))
	})
	r.measure("snapshotNs", "encoding that snapshot", "ns", "worker", workerSizes, func(n int) float64 {
		return costPerCall(func() {
			_, err := states[n].Snapshot()
			must(err)
		})
	})
	r.measure("restoreNs", "restoring it", "ns", "worker", workerSizes, func(n int) float64 {
		data, err := states[n].Snapshot()
		must(err)
		return costPerCall(func() { must(state.New().Restore(data)) })
	})
}
