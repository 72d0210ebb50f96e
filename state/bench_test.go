package state

import (
	"fmt"
	"runtime"
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	benchTasksPerWorker = 8
	benchTasksPerJob    = 8
	benchTeams          = 390
)

var benchSizes = []int{11, 110, 1100, 3700}

func benchJobs(n int) (jobs []*apiv1.Job) {
	for i := range n {
		jobs = append(jobs, &apiv1.Job{
			Name: fmt.Sprintf("provenance-check-%05d", i), Kind: fmt.Sprintf("kind-%d", i%50), Tasks: benchTasksPerJob,
			Team: fmt.Sprintf("team-%d", i%benchTeams), Size: &apiv1.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30},
		})
	}
	return jobs
}

// loadedMachine is a machine with n workers and twice the tasks that they hold, one half
// granted.
type loadedMachine struct {
	*Machine
	workers int
	jobs    []*apiv1.Job
	// nextJobs is an equal copy of jobs, as a submission that was decoded anew brings.
	nextJobs []*apiv1.Job
}

func (g *loadedMachine) applyNext(cmd *apiv1.Command) *apiv1.Result { return g.Apply(g.index+1, cmd) }

func (g *loadedMachine) task(i int) string {
	return fmt.Sprintf("%s@1/%d", g.jobs[i/benchTasksPerJob%len(g.jobs)].Name, i%benchTasksPerJob)
}

func (g *loadedMachine) worker(i int) string { return fmt.Sprintf("worker-%05d", i%g.workers) }

func (g *loadedMachine) place(i int) *apiv1.Command {
	return &apiv1.Command{Body: &apiv1.Command_Place{Place: &apiv1.Place{Grants: []*apiv1.Grant{{
		Task: g.task(i), Attempt: g.tasks[g.task(i)].attempt + 1, Worker: g.worker(i / benchTasksPerWorker), WorkerIncarnation: 1,
		Resources: &apiv1.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30},
	}}}}}
}

func (g *loadedMachine) end(i int, kind apiv1.EndKind) *apiv1.Command {
	t := g.tasks[g.task(i)]
	return &apiv1.Command{Body: &apiv1.Command_RecordTasks{RecordTasks: &apiv1.RecordTasks{
		Worker: t.worker.name, WorkerIncarnation: 1,
		Ends: []*apiv1.TaskEnd{{Task: &apiv1.TaskAttempt{Task: t.id, Attempt: t.attempt}, Kind: kind}},
	}}}
}

func newLoadedMachine(workers int) *loadedMachine {
	jobs := 2 * workers * benchTasksPerWorker / benchTasksPerJob
	g := &loadedMachine{Machine: New(), workers: workers, jobs: benchJobs(jobs), nextJobs: benchJobs(jobs)}
	g.submit(1)
	for i := range workers {
		g.applyNext(&apiv1.Command{Body: &apiv1.Command_RegisterWorker{RegisterWorker: &apiv1.RegisterWorker{
			Worker: g.worker(i), Incarnation: 1, Region: "sto", AvailabilityZone: "sto-a", Rack: "r1",
			Capacity: &apiv1.Resources{MilliProcessors: 64000, MemoryBytes: 250 << 30},
		}}})
	}
	for i := range workers * benchTasksPerWorker {
		g.applyNext(g.place(i))
	}
	return g
}

func (g *loadedMachine) submit(n int) {
	g.jobs, g.nextJobs = g.nextJobs, g.jobs
	g.applyNext(&apiv1.Command{Body: &apiv1.Command_Submit{Submit: &apiv1.Submit{
		SubmissionId: fmt.Sprint("s", n), BaseVersion: g.configuration.Version,
		Configuration: &apiv1.Configuration{Jobs: g.jobs, TextDigest: fmt.Sprint(n)},
	}}})
}

func claimCommand(i int) *apiv1.Command {
	return &apiv1.Command{TimeMs: 1, Body: &apiv1.Command_Claim{Claim: &apiv1.Claim{
		Service: "auction", Key: fmt.Sprintf("0f8fad5b-d9cb-469f-a165-%012d", i), RequestDigest: make([]byte, 32),
		RequestId: fmt.Sprintf("entry-1-%012d", i), Entry: "entry-1", Agent: "agent-0001", Attempt: 1,
	}}}
}

func settleCommand(i int) *apiv1.Command {
	c := claimCommand(i).GetClaim()
	return &apiv1.Command{TimeMs: 1, Body: &apiv1.Command_Settle{Settle: &apiv1.Settle{
		Service: c.Service, Key: c.Key, RequestId: c.RequestId, Attempt: 1, Outcome: apiv1.Outcome_OUTCOME_ANSWERED,
		Response: &apiv1.HttpResponse{Status: 201, Body: make([]byte, 200)},
	}}}
}

// BenchmarkApply times one command of each kind against the number of workers.
func BenchmarkApply(b *testing.B) {
	for _, n := range benchSizes {
		kinds := map[string]func(g *loadedMachine, i int){
			"place+end": func(g *loadedMachine, i int) {
				k := g.workers*benchTasksPerWorker + i%(g.workers*benchTasksPerWorker)
				g.applyNext(g.place(k))
				g.applyNext(g.end(k, apiv1.EndKind_END_KIND_STOPPED))
			},
			"register": func(g *loadedMachine, i int) {
				g.applyNext(&apiv1.Command{Body: &apiv1.Command_RegisterWorker{RegisterWorker: &apiv1.RegisterWorker{
					Worker: g.worker(i), Incarnation: 1, Capacity: &apiv1.Resources{MilliProcessors: 64000, MemoryBytes: 250 << 30},
				}}})
			},
			"claim+settle": func(g *loadedMachine, i int) {
				g.applyNext(claimCommand(i % MaxClaims))
				g.applyNext(settleCommand(i % MaxClaims))
			},
			"submit": func(g *loadedMachine, i int) { g.submit(i + 2) },
		}
		for _, kind := range sortedKeys(kinds) {
			b.Run(fmt.Sprintf("%s/workers=%d", kind, n), func(b *testing.B) {
				g := newLoadedMachine(n)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					kinds[kind](g, i)
				}
			})
		}
	}
}

// BenchmarkSnapshot times snapshot and restore, and reports the size.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range benchSizes {
		g := newLoadedMachine(n)
		data, err := g.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("encode/workers=%d", n), func(b *testing.B) {
			for range b.N {
				_, _ = g.Snapshot()
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
		b.Run(fmt.Sprintf("restore/workers=%d", n), func(b *testing.B) {
			for range b.N {
				if err := New().Restore(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkHeap reports the heap that one more of each kind takes.
func BenchmarkHeap(b *testing.B) {
	const count = 20000
	for kind, f := range map[string]func(m *Machine){
		"worker": func(m *Machine) { registerAndQueue(m, count, 0) },
		"task":   func(m *Machine) { registerAndQueue(m, 0, count) },
		"job":    func(m *Machine) { m.applyConfiguration(&apiv1.Configuration{Jobs: benchJobs(count)}) },
		"claim": func(m *Machine) {
			for i := range count {
				m.Apply(m.index+1, claimCommand(i))
				m.Apply(m.index+1, settleCommand(i))
			}
		},
		"expired-claim": func(m *Machine) {
			for i := range count {
				m.Apply(m.index+1, claimCommand(i))
			}
		},
	} {
		b.Run(kind, func(b *testing.B) {
			for range b.N {
				before := heapInUse()
				m := New()
				f(m)
				b.ReportMetric(float64(heapInUse()-before)/count, "B/"+kind)
				runtime.KeepAlive(m)
			}
		})
	}
}

func registerAndQueue(m *Machine, workers, tasks int) {
	for i := range workers {
		m.Apply(m.index+1, &apiv1.Command{Body: &apiv1.Command_RegisterWorker{RegisterWorker: &apiv1.RegisterWorker{
			Worker: fmt.Sprintf("worker-%05d", i), Incarnation: 1, Region: "sto", AvailabilityZone: "sto-a", Rack: "r1",
			Capacity: &apiv1.Resources{MilliProcessors: 64000, MemoryBytes: 250 << 30},
		}}})
	}
	if tasks > 0 {
		m.applyConfiguration(&apiv1.Configuration{Jobs: []*apiv1.Job{{Name: "renewal-run", Tasks: int32(tasks)}}})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
