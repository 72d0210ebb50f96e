package agent_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/worker"
)

// fakeLeader stands in for the control group: it wants one task to run, and later to stop.
type fakeLeader struct {
	mu              sync.Mutex
	evict           bool
	attempt         uint64
	statuses        []*apiv1.TaskStatus // Reports on the task, in order.
	usageReports    int
	firstTaskCounts map[uint64]int // Tasks in the first heartbeat of each agent incarnation.
}

func (l *fakeLeader) respond(req *apiv1.HeartbeatRequest) *apiv1.HeartbeatResponse {
	resp := &apiv1.HeartbeatResponse{Configuration: testConfiguration, ConfigurationVersion: 1}
	hb := req.Worker
	if hb == nil {
		return resp
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.firstTaskCounts[req.AgentIncarnation]; !ok {
		l.firstTaskCounts[req.AgentIncarnation] = len(hb.Tasks)
	}
	l.usageReports += len(hb.Usage)
	o := &apiv1.WorkerOrders{Sequence: hb.Sequence, Renewed: true, LeaseMs: 5000}
	resp.Orders = o
	task := &apiv1.TaskAttempt{Task: "renewals", Attempt: l.attempt}
	for _, st := range hb.Tasks {
		l.statuses = append(l.statuses, st)
		if st.Phase != apiv1.TaskPhase_TASK_PHASE_RUNNING {
			o.Acknowledged = append(o.Acknowledged, st.Task)
			return resp
		}
		if l.evict {
			o.Stop = []*apiv1.StopTask{{Task: task, Checkpoint: true}}
		}
	}
	if len(hb.Tasks) == 0 && !l.evict {
		o.Start = []*apiv1.StartTask{{Task: task, ExpectedRunMs: 60000,
			Grant: &apiv1.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 20}}}
	}
	return resp
}

func (l *fakeLeader) lastStatus(phase apiv1.TaskPhase) *apiv1.TaskStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.statuses); n > 0 && l.statuses[n-1].Phase == phase {
		return l.statuses[n-1]
	}
	return nil
}

// newWorker serves a stand-in worker and returns its client, record and faults.
func newWorker(t *testing.T) (*worker.Client, *fakes.Recorder[fakes.RunEvent], string) {
	record, err := fakes.NewRecorder[fakes.RunEvent]("")
	if err != nil {
		t.Fatal(err)
	}
	info := &apiv1.WorkerInfo{Name: "w", Incarnation: 1, Capacity: &apiv1.Resources{MilliProcessors: 2000, MemoryBytes: 1 << 30}}
	server := fakes.NewWorkerServer(fakes.WorkerConfig{Info: info}, record)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = server.Serve(ctx, l); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return worker.NewClient(l.Addr().String()), record, l.Addr().String()
}

func loseReplies(t *testing.T, address, path string) {
	body := fmt.Sprintf(`{"path":%q,"mode":"lost","times":1}`, path)
	req, _ := http.NewRequest("PUT", "http://"+address+fakes.PathFaults, strings.NewReader(body))
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode >= 300 {
		t.Fatalf("fault not armed: %v", err)
	}
	_ = resp.Body.Close()
}

// Symptom: a task runs twice or is lost when replies of the worker get lost and
// the agent is restarted.
// Sequence: the reply to the start is lost; the task runs under renewals; the agent
// restarts and reports it before anything else; the task is evicted, and the reply to
// its checkpoint is lost.
// Cause: a lost reply is taken for a refusal, or a new agent starts from nothing
// without a look at what its worker runs.
func TestLeaseSurvivesLostRepliesAndRestart(t *testing.T) {
	t.Parallel()
	hostWorker, record, address := newWorker(t)
	l := &fakeLeader{attempt: 1, firstTaskCounts: map[uint64]int{}}
	loseReplies(t, address, worker.PathStart)
	r := newHarness(t, &fakeEntry{respond: l.respond}, hostWorker, nil)
	count := func(kind fakes.EventKind) (n int) {
		for _, e := range record.Values() {
			if e.Kind == kind {
				n++
			}
		}
		return n
	}
	r.eventually("task runs and is renewed", func() bool {
		return l.lastStatus(apiv1.TaskPhase_TASK_PHASE_RUNNING) != nil && count(fakes.EventRenew) > 5 && l.usageReports > 0
	})
	r.stop()
	<-r.done
	r = newHarness(t, &fakeEntry{respond: l.respond}, hostWorker, nil)
	r.eventually("the next agent reports what runs", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.firstTaskCounts[r.agent.Incarnation()] == 1
	})
	loseReplies(t, address, worker.PathCheckpoint)
	l.mu.Lock()
	l.evict = true
	l.mu.Unlock()
	r.eventually("eviction is reported", func() bool { return l.lastStatus(apiv1.TaskPhase_TASK_PHASE_STOPPED) != nil })
	if st := l.lastStatus(apiv1.TaskPhase_TASK_PHASE_STOPPED); st.Checkpoint == "" {
		t.Errorf("checkpoint lost: %v", st)
	}
	r.eventually("the acknowledged end is forgotten", func() bool {
		tasks, err := hostWorker.Tasks(t.Context())
		return err == nil && len(tasks) == 0
	})
	if starts, ends := count(fakes.EventStart), count(fakes.EventEnd); starts != 1 || ends != 1 {
		t.Errorf("%d starts and %d ends", starts, ends)
	}
}

// hangingWorker answers nothing until its caller gives up.
type hangingWorker struct{ worker.Worker }

func (hangingWorker) Info(ctx context.Context) (*apiv1.WorkerInfo, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Symptom: targets vanish from the entries, although only the worker's process hangs.
// Sequence: the worker answers no call until its caller gives up.
// Cause: heartbeats that wait for the worker. They go on, and renew nothing.
func TestHangingWorker(t *testing.T) {
	t.Parallel()
	e := &fakeEntry{}
	r := newHarness(t, e, hangingWorker{}, nil)
	r.eventually("heartbeats go on without the worker", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.heartbeats) >= 10
	})
	if e.received(func(b *apiv1.HeartbeatRequest) bool { return b.Worker != nil }) {
		t.Error("leases were renewed for a worker that nobody has heard")
	}
}
