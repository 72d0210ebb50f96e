package place

import (
	"fmt"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// benchmarkSnapshot has 1,000 queued tasks and 12 running ones per worker.
func benchmarkSnapshot(workers int) *Snapshot {
	s := &Snapshot{Services: map[string]*apiv1.Service{}, Teams: map[string]*Team{}}
	for i := range 20 {
		name := fmt.Sprint("service-", i)
		s.Services[name] = &apiv1.Service{Name: name, ObjectiveMs: 100}
	}
	for i := range workers {
		w := &Worker{
			Name: fmt.Sprintf("w%05d", i), Rack: fmt.Sprint(i / 30), AvailabilityZone: fmt.Sprint(i % 19), Alive: true,
			Capacity: Resources{64_000, 250 << 30, int64(i % 3)},
			Services: []string{fmt.Sprint("service-", i%20), fmt.Sprint("service-", (i+7)%20)},
		}
		for j := range 12 {
			w.Running = append(w.Running, &Task{
				ID: fmt.Sprint("r", i, "-", j), Job: fmt.Sprint("r", i%500), Kind: fmt.Sprint("kind-", j), Worker: w.Name,
				Attempt: 1, Size: Resources{4_000, 8 << 30, 0}, GrantedAt: epoch, State: apiv1.TaskState_TASK_STATE_GRANTED,
			})
		}
		s.Workers = append(s.Workers, w)
	}
	for i := range 1000 {
		s.Queued = append(s.Queued, &Task{
			ID: fmt.Sprint("q", i), Job: fmt.Sprint("j", i%100), Kind: fmt.Sprint("kind-", i%12), Team: fmt.Sprint("t", i%39),
			Priority: apiv1.Priority(1 + i%10/9), Size: Resources{2_000, 4 << 30, 0}, QueuedAt: epoch,
		})
	}
	return s
}

// BenchmarkPlan times one round with 1,000 queued tasks; ns/decision is what one
// of them costs, the building of the round's indices included.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{11, 110, 1100, 3700} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := benchmarkSnapshot(workers)
			p := New(Config{})
			for _, w := range s.Workers {
				p.Observe(epoch, latency(w.Name, w.Services[0], 60, time.Second))
			}
			b.ReportAllocs()
			placed := 0
			for b.Loop() {
				placed = len(p.Plan(epoch.Add(time.Minute), s).Grants)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1000, "ns/decision")
			b.ReportMetric(float64(placed), "grants")
		})
	}
}

// BenchmarkObserve times one heartbeat of a worker with 12 tasks and two reports.
func BenchmarkObserve(b *testing.B) {
	s := newHarness(1, "bookings", "certificates")
	for i := range 12 {
		s.run("w0", s.queue(fmt.Sprint("t", i), fmt.Sprint("k", i), "j"), Resources{})
	}
	s.plan()
	b.ReportAllocs()
	for b.Loop() {
		s.now = s.now.Add(10 * time.Second)
		hb := latency("w0", "bookings", 60, time.Second)
		hb.Latency = append(hb.Latency, latency("w0", "certificates", 60, time.Second).Latency...)
		s.heartbeat("w0", hb)
	}
}
