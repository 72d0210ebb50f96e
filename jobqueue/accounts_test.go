package jobqueue_test

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	accepted  = apiv1.JobOutcome_JOB_OUTCOME_OK
	overLimit = apiv1.JobOutcome_JOB_OUTCOME_OVER_LIMIT
	held      = apiv1.JobOutcome_JOB_OUTCOME_HELD
)

func (m *machine) submitFor(account, id string) apiv1.JobOutcome {
	return m.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: &apiv1.JobSpec{
		Id: id, Host: host, Path: "/q/" + id, Account: account, Steps: []*apiv1.JobStep{{Count: 2, CpuMilli: 100}},
	}}}})
}

func (m *machine) hold(queue string, held bool, revision uint64) apiv1.JobOutcome {
	return m.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_SetQueueHold{SetQueueHold: &apiv1.SetQueueHold{
		Queue: queue, Held: held, Revision: revision, Operator: "op",
	}}})
}

func (m *machine) prioritize(id string) apiv1.JobOutcome {
	return m.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Prioritize{Prioritize: &apiv1.PrioritizeJob{Id: id, Prioritized: true}}})
}

// limited is a configuration with limits of pending jobs of account a and of the queue, which refuses jobs
// while it is held.
func limited(version uint64, ofAccount, ofQueue uint32) *apiv1.QueueConfiguration {
	c := configuration(version)
	c.Queues[0].Limits = &apiv1.WorkLimits{PendingJobs: ofQueue}
	c.Queues[0].RefuseWhileHeld = true
	c.Accounts = []*apiv1.AccountConfiguration{{Name: "a", Weight: 3, Limits: &apiv1.WorkLimits{PendingJobs: ofAccount}}}
	return c
}

func expect(t *testing.T, what string, got, want apiv1.JobOutcome) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// Guards against limits that count jobs which have started or ended, and against a caller who is told
// "not accepted" about a job that is known.
func TestLimitsOfPendingJobs(t *testing.T) {
	m := newMachine()
	m.worker("w1", "h1", 1000)
	m.put(limited(2, 2, 3))
	expect(t, "first", m.submitFor("a", "j1"), accepted)
	expect(t, "second", m.submitFor("a", "j2"), accepted)
	expect(t, "above the account's limit", m.submitFor("a", "j3"), overLimit)
	expect(t, "retry of a known job", m.submitFor("a", "j2"), accepted)
	expect(t, "job without account", m.submitFor("", "j4"), accepted)
	expect(t, "above the queue's limit", m.submitFor("b", "j5"), overLimit)
	if !m.start(task("j1", 0, 0), 1, "w1") || m.PendingJobsOf("a") != 1 {
		t.Errorf("%d pending jobs after a start", m.PendingJobsOf("a"))
	}
	expect(t, "after a start", m.submitFor("a", "j3"), accepted)
	m.report(&apiv1.ReportWorker{Worker: spec("w1", "h1", 1000), Refusals: []*apiv1.RunRefusal{{Task: task("j1", 0, 0).Ref(), Run: 1}}})
	if m.PendingJobsOf("a") != 3 || m.PendingJobsOfQueue(m.Configuration().Queues[0]) != 4 {
		t.Errorf("after a refused start: %d of the account, %d of the queue", m.PendingJobsOf("a"), m.PendingJobsOfQueue(m.Configuration().Queues[0]))
	}
	for _, id := range []string{"j1", "j2", "j3", "j4"} {
		m.cancel(id)
	}
	if m.PendingJobsOf("a")+m.PendingJobsOf("") != 0 {
		t.Error("canceled jobs count as pending")
	}
	expect(t, "after the cancels", m.submitFor("a", "j6"), accepted)
}

// Guards against a queue that starts work while it is held, and against an acknowledged release that a
// delayed copy of the hold undoes.
func TestHeldQueueStartsNothing(t *testing.T) {
	m := newMachine()
	m.worker("w1", "h1", 1000)
	expect(t, "job before the hold", m.submitFor("a", "j1"), accepted)
	m.start(task("j1", 0, 0), 1, "w1")
	expect(t, "hold", m.hold("q", true, 0), accepted)
	expect(t, "repeated hold", m.hold("q", true, 0), accepted)
	if m.start(task("j1", 0, 1), 1, "w1") {
		t.Error("a plan made before the hold started a task")
	}
	if r := m.Run(jobqueue.RunID{Task: task("j1", 0, 0), Number: 1}); r == nil || r.Stopping {
		t.Error("the run does not continue")
	}
	expect(t, "job that waits", m.submitFor("a", "j2"), accepted)
	m.put(limited(2, 0, 0))
	expect(t, "job that is refused", m.submitFor("a", "j3"), held)
	expect(t, "retry of a known job", m.submitFor("a", "j2"), accepted)
	expect(t, "release", m.hold("q", false, 2), accepted)
	expect(t, "delayed copy of the hold", m.hold("q", true, 0), apiv1.JobOutcome_JOB_OUTCOME_SUPERSEDED)
	if m.QueueHeld("q") || !m.start(task("j1", 0, 1), 1, "w1") {
		t.Error("no start after the release")
	}
	expect(t, "job after the release", m.submitFor("a", "j3"), accepted)
}

// Guards against orders that can't be meant, and against a hold that can't be released since its queue was
// removed.
func TestOrdersAboutUnknownQueuesAndJobs(t *testing.T) {
	m := newMachine()
	expect(t, "unknown queue", m.hold("x", true, 0), apiv1.JobOutcome_JOB_OUTCOME_NO_QUEUE)
	expect(t, "no name", m.hold("", true, 0), apiv1.JobOutcome_JOB_OUTCOME_INVALID)
	expect(t, "unknown job", m.prioritize("x"), apiv1.JobOutcome_JOB_OUTCOME_NO_JOB)
	m.submitFor("", "j1")
	expect(t, "job", m.prioritize("j1"), accepted)
	expect(t, "repeated", m.prioritize("j1"), accepted)
	if list := m.Prioritized(); len(list) != 1 || list[0].ID() != "j1" {
		t.Errorf("prioritized: %v", list)
	}
	m.cancel("j1")
	expect(t, "ended job", m.prioritize("j1"), apiv1.JobOutcome_JOB_OUTCOME_NO_JOB)
	expect(t, "hold", m.hold("q", true, 0), accepted)
	other := configuration(2)
	other.Queues[0].Name, other.Queues[0].PathPrefix = "r", "/r/"
	m.put(other)
	if holds := m.Holds(); len(holds) != 2 || !holds[0].Held || holds[1].Held {
		t.Errorf("holds: %v", holds)
	}
	expect(t, "release of a removed queue", m.hold("q", false, 1), accepted)
}

// renamed is a configuration with queues at /q/ and /r/ of the given names, the first one refusing jobs while
// it is held.
func renamed(version uint64, first, second string) *apiv1.QueueConfiguration {
	c := configuration(version)
	c.Queues[0].Name, c.Queues[0].RefuseWhileHeld = first, true
	q := proto.CloneOf(c.Queues[0])
	q.Name, q.PathPrefix = second, "/r/"
	c.Queues = append(c.Queues, q)
	return c
}

// Guards against a hold that ends without an order since its queue is renamed, also for jobs of a queue that
// is removed afterwards, and against a former name that stays held or takes a delayed copy of the hold.
func TestHoldSurvivesRename(t *testing.T) {
	m := newMachine()
	m.worker("w1", "h1", 1000)
	m.put(renamed(2, "q", "r"))
	expect(t, "job before the hold", m.submitFor("a", "j1"), accepted)
	expect(t, "hold", m.hold("q", true, 0), accepted)
	m.put(renamed(3, "s", "q")) // the former name goes to a queue that is not held
	var err error
	if m.Machine, err = jobqueue.Restore(proto.CloneOf(m.Snapshot()), m.now); err != nil {
		t.Fatal(err)
	}
	if h := m.QueueHold("s"); !h.GetHeld() || h.Operator != "op" || h.SinceMs == 0 || m.QueueHeld("q") {
		t.Errorf("holds after the rename: %v", m.Holds())
	}
	if got := m.Job("j1").Queue.Name; got != "s" {
		t.Errorf("the job is of queue %q", got)
	}
	if m.start(task("j1", 0, 0), 1, "w1") {
		t.Error("a task of the renamed queue started")
	}
	expect(t, "job that is refused", m.submitFor("a", "j2"), held)
	expect(t, "delayed copy of the hold", m.hold("q", true, 0), apiv1.JobOutcome_JOB_OUTCOME_SUPERSEDED)
	removed := renamed(4, "s", "q")
	removed.Queues = removed.Queues[1:]
	m.put(removed)
	if m.start(task("j1", 0, 0), 1, "w1") {
		t.Error("a task of the removed queue started")
	}
	m.put(renamed(5, "s", "q"))
	expect(t, "release by the new name", m.hold("s", false, m.QueueHold("s").GetRevision()), accepted)
	if !m.start(task("j1", 0, 0), 1, "w1") {
		t.Error("no start after the release")
	}
	expect(t, "job after the release", m.submitFor("a", "j2"), accepted)
}

// Guards against holds that are lost or mixed up where names are swapped or shared, and against a held queue
// that no order can release since it has no name.
func TestHoldsOfSwappedSharedAndRemovedNames(t *testing.T) {
	for _, c := range []struct {
		first, second string // after the configuration in which /q/ is q, which is held, and /r/ is r
		outcome       apiv1.JobOutcome
		held          string
	}{
		{"r", "q", accepted, "r"},
		{"s", "q", accepted, "s"},
		{"s", "s", accepted, "s"},
		{"r", "r", accepted, "r"},
		{"q", "q", accepted, "q"},
		{"q", "s", accepted, "q"},
		{"s", "r", accepted, "s"},
		{"", "r", held, "q"},
		{"q", "", accepted, "q"},
	} {
		m := newMachine()
		m.put(renamed(2, "q", "r"))
		m.hold("q", true, 0)
		name := fmt.Sprintf("%q, %q", c.first, c.second)
		expect(t, name, m.put(renamed(3, c.first, c.second)), c.outcome)
		if got := m.HeldQueues(); len(got) != 1 || got[0] != c.held {
			t.Errorf("%s: held are %q, want %q", name, got, c.held)
		}
	}
	m := newMachine()
	m.worker("w1", "h1", 1000)
	m.put(renamed(2, "q", "q"))
	m.submitFor("a", "j1")
	m.hold("q", true, 0)
	m.put(renamed(3, "q", "r"))
	if got := m.HeldQueues(); len(got) != 2 {
		t.Errorf("one of two held queues of a name is renamed: held are %q", got)
	}
	// The queue at /q/ is removed, the other one gets a further name, and the first one returns with another.
	removed := renamed(4, "q", "q")
	removed.Queues = removed.Queues[1:]
	m.put(removed)
	removed = proto.CloneOf(removed)
	removed.Version, removed.Queues[0].Name = 5, "t"
	m.put(removed)
	if m.start(task("j1", 0, 0), 1, "w1") {
		t.Error("a task of a removed queue started since another queue of its name was renamed")
	}
	m.put(renamed(6, "u", "t"))
	if m.start(task("j1", 0, 0), 1, "w1") || !m.QueueHeld("u") {
		t.Error("the hold ended while the queue was removed and returned by another name")
	}
}

// Guards against a status that lists all prioritized jobs of a full log, or others than the first ones.
func TestFirstPrioritizedIsBounded(t *testing.T) {
	m := newMachine()
	for i := range 30 {
		id := fmt.Sprintf("j%02d", i)
		m.submitFor("a", id)
		if i%2 == 0 {
			m.prioritize(id)
		}
	}
	m.cancel("j02")
	for most, want := range map[int]int{0: 0, 1: 1, 5: 5, 14: 14, 100: 14} {
		list := m.FirstPrioritized(most)
		if len(list) != want || !slices.Equal(list, m.Prioritized()[:want]) {
			t.Errorf("the first %d of %d jobs are %d", most, len(m.Prioritized()), len(list))
		}
	}
	if list := m.FirstPrioritized(2); list[0].ID() != "j00" || list[1].ID() != "j04" {
		t.Errorf("the first two are %s and %s", list[0].ID(), list[1].ID())
	}
}

// Guards against accounts, holds, priorities and counters that are lost with a snapshot, and against a
// snapshot of a release without them that can't be restored.
func TestAccountsAndHoldsAreInSnapshots(t *testing.T) {
	m := newMachine()
	m.put(limited(2, 2, 0))
	m.submitFor("a", "j1")
	m.submitFor("a", "j2")
	m.prioritize("j1")
	m.hold("q", true, 0)
	snapshot := m.Snapshot()
	restored, err := jobqueue.Restore(proto.CloneOf(snapshot), m.now)
	if err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(snapshot, restored.Snapshot()) {
		t.Errorf("restored %v, want %v", restored.Snapshot(), snapshot)
	}
	if !restored.QueueHeld("q") || restored.PendingJobsOf("a") != 2 || !restored.Job("j1").Prioritized || restored.AccountWeight("a") != 3 {
		t.Errorf("held %v, %d pending", restored.QueueHeld("q"), restored.PendingJobsOf("a"))
	}
	// The snapshot as an earlier release writes it.
	snapshot.Holds, snapshot.Configuration.Accounts = nil, nil
	snapshot.Configuration.Queues[0].Limits, snapshot.Configuration.Queues[0].RefuseWhileHeld = nil, false
	for _, j := range snapshot.Jobs {
		j.Spec.Account, j.Prioritized, j.Queue = "", false, snapshot.Configuration.Queues[0]
	}
	earlier, err := jobqueue.Restore(snapshot, m.now)
	if err != nil {
		t.Fatal(err)
	}
	if earlier.QueueHeld("q") || earlier.PendingJobsOf("") != 2 || earlier.Job("j1").Prioritized {
		t.Error("state that the snapshot does not have")
	}
	if !proto.Equal(snapshot, earlier.Snapshot()) {
		t.Errorf("restored %v, want %v", earlier.Snapshot(), snapshot)
	}
}

// Guards against configurations that the planner can't apply, and against an error that does not name the
// account or queue.
func TestInvalidAccountsAndLimitsAreRefused(t *testing.T) {
	account := func(a *apiv1.AccountConfiguration) func(*apiv1.QueueConfiguration) {
		return func(c *apiv1.QueueConfiguration) { c.Accounts = append(c.Accounts, a) }
	}
	for want, change := range map[string]func(*apiv1.QueueConfiguration){
		`account ""`:            account(&apiv1.AccountConfiguration{}),
		`account "a b"`:         account(&apiv1.AccountConfiguration{Name: "a b"}),
		`"a" is configured`:     account(&apiv1.AccountConfiguration{Name: "a"}),
		`"neg" requires`:        account(&apiv1.AccountConfiguration{Name: "neg", Weight: -1}),
		`"nan" requires`:        account(&apiv1.AccountConfiguration{Name: "nan", Weight: math.NaN()}),
		`"small" requires`:      account(&apiv1.AccountConfiguration{Name: "small", Weight: 1e-9}),
		`"big" requires`:        account(&apiv1.AccountConfiguration{Name: "big", Weight: 1e9}),
		`account "b": limit`:    account(&apiv1.AccountConfiguration{Name: "b", Limits: &apiv1.WorkLimits{CpuMilli: -1}}),
		`queue "q": limit cpu_`: func(c *apiv1.QueueConfiguration) { c.Queues[0].Limits = &apiv1.WorkLimits{CpuMilli: -1} },
	} {
		c := limited(2, 1, 1)
		change(c)
		if err := jobqueue.Validate(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	if err := jobqueue.Validate(limited(2, 1, 1)); err != nil {
		t.Error(err)
	}
	bad := &apiv1.JobSpec{Id: "j", Account: "a b", Steps: []*apiv1.JobStep{{Count: 1}}}
	if err := jobqueue.ValidateJob(bad); err == nil || !strings.Contains(err.Error(), "account") {
		t.Errorf("job of an invalid account: %v", err)
	}
}

// Guards against a list of accounts that counts work twice or leaves some out, and against one that grows
// with the names that callers make up.
func TestAccountRecords(t *testing.T) {
	m := newMachine()
	m.worker("w1", "h1", 1000)
	m.put(limited(2, 5, 0))
	m.submitFor("a", "j1")
	m.submitFor("b", "j2")
	m.submitFor("", "j3")
	m.start(task("j2", 0, 0), 1, "w1")
	records := m.AccountRecords(m.now)
	if len(records) != 3 || records[0].Name != "" || records[1].Name != "a" || records[1].Weight != 3 || records[1].Limits.PendingJobs != 5 {
		t.Fatalf("records: %v", records)
	}
	if a, b := records[1], records[2]; a.PendingJobs != 1 || a.WaitingTasks != 2 || a.CpuMilli != 0 ||
		b.PendingJobs != 0 || b.WaitingTasks != 1 || b.RunningTasks != 1 || b.CpuMilli != 100 {
		t.Errorf("a %v, b %v", a, b)
	}
	for i := range 1500 {
		m.submitFor(fmt.Sprint("caller", i), fmt.Sprint("k", i))
	}
	records = m.AccountRecords(m.now)
	pending := uint32(0)
	for _, r := range records {
		pending += r.PendingJobs
	}
	if len(records) != 1000 || pending != 1502 {
		t.Errorf("%d records with %d pending jobs", len(records), pending)
	}
}

// Guards against a change of behavior without accounts, limits, holds or priorities: the state is the same
// bytes as that of a release without them. testdata/snapshot-without-accounts.binpb is the snapshot that
// commit fed3fa56, before accounts, writes after the same commands.
func TestWithoutAccountsNothingChanges(t *testing.T) {
	want, err := os.ReadFile("testdata/snapshot-without-accounts.binpb")
	if err != nil {
		t.Fatal(err)
	}
	m := newMachine()
	m.worker("w1", "h1", 1000)
	for i := range 100 {
		expect(t, "job", m.submit(fmt.Sprint("j", i), &apiv1.JobStep{Count: 2, CpuMilli: 10}), accepted)
	}
	if !m.start(task("j1", 0, 0), 1, "w1") {
		t.Error("no start")
	}
	expect(t, "end", m.end("w1", task("j1", 0, 0), 1, apiv1.RunEndKind_RUN_END_KIND_DONE), accepted)
	expect(t, "cancel", m.cancel("j2"), accepted)
	if m.AccountWeight("") != 1 || m.QueueHeld("q") {
		t.Error("an account or a hold without configuration")
	}
	got, err := proto.MarshalOptions{Deterministic: true}.Marshal(m.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("the snapshot of %d bytes differs from the %d bytes of the earlier release: %v", len(got), len(want), m.Snapshot())
	}
	restored, err := jobqueue.Restore(m.Snapshot(), m.now)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := (proto.MarshalOptions{Deterministic: true}).Marshal(restored.Snapshot()); err != nil || !bytes.Equal(again, want) {
		t.Errorf("the restored snapshot of %d bytes differs from the %d bytes of the earlier release, %v", len(again), len(want), err)
	}
}
