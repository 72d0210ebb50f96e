package runs_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/fakes"
)

const (
	ownPool     = "p"
	foreignPool = "zk91x"
)

// announced is an announcement of the worker w1 at a time after the start of the agent.
type announced struct {
	after      time.Duration
	pool, zone string
	wantErr    bool
}

// Guards against a worker that gets no work, or work of another pool, since its agent believes one message of
// another program: the first of a session, or one beside the worker's own.
func TestPlacementOfWorkerIsNotDecidedByOneForeignMessage(t *testing.T) {
	const second, third = 1500 * time.Millisecond, 3 * time.Second
	for name, c := range map[string]struct {
		expected string
		messages []announced
		want     string
	}{
		"foreign first":                    {ownPool, []announced{{0, foreignPool, "", true}, {0, ownPool, "", false}}, ownPool},
		"foreign first, pool not known":    {"", []announced{{0, foreignPool, "", false}, {0, ownPool, "", true}, {second, ownPool, "", false}}, ownPool},
		"foreign zone first":               {ownPool, []announced{{0, ownPool, "other", false}, {0, ownPool, "", true}, {second, ownPool, "", false}}, ownPool},
		"foreign ones beside its own":      {ownPool, []announced{{0, ownPool, "", false}, {0, foreignPool, "", true}, {second, foreignPool, "", true}, {third, foreignPool, "", true}}, ownPool},
		"foreign one, resent at once":      {ownPool, []announced{{0, foreignPool, "", true}, {100 * time.Millisecond, foreignPool, "", true}, {second, ownPool, "", false}}, ownPool},
		"foreign ones in turn":             {"", []announced{{0, ownPool, "", false}, {0, foreignPool, "", true}, {second, ownPool, "", false}, {second, foreignPool, "", true}, {third, ownPool, "", false}}, ownPool},
		"moved before the settings change": {ownPool, []announced{{0, "moved", "", true}, {second, "moved", "", false}, {third, "moved", "", false}}, "moved"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term}}
				d := runs.New(runs.Options{Pool: c.expected, Leader: l, Worker: fakes.NewRunWorker(workerSpec("w1"), fakes.NewRunChecker())})
				defer runDriver(d)()
				began := time.Now()
				for i, m := range c.messages {
					time.Sleep(time.Until(began.Add(m.after)))
					w := workerSpec("w1")
					w.Pool, w.AvailabilityZone = m.pool, m.zone
					if err := d.Announce(runs.Announcement{Worker: w, Sequence: uint64(i + 1)}); (err != nil) != m.wantErr {
						t.Errorf("message %d: %v", i, err)
					}
				}
				time.Sleep(time.Second)
				l.mu.Lock()
				defer l.mu.Unlock()
				if len(l.reports) == 0 {
					t.Fatal("nothing is reported")
				}
				if w := l.reports[len(l.reports)-1].Worker; w.Pool != c.want || w.AvailabilityZone != "" {
					t.Errorf("reported in pool %q, zone %q", w.Pool, w.AvailabilityZone)
				}
			})
		})
	}
}
