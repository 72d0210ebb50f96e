package state

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/configdelta"
)

// commandChecker judges the machine from outside: it follows grants and ends by the
// commands and their results, and never reads the machine's own sums.
type commandChecker struct {
	t           *rapid.T
	term        uint64
	lastAttempt map[string]uint64
	liveGrants  map[string]*apiv1.Grant
	workers     map[string]*apiv1.RegisterWorker
}

func (l *commandChecker) end(a *apiv1.TaskAttempt) {
	if g := l.liveGrants[a.GetTask()]; g != nil && g.Attempt == a.GetAttempt() {
		delete(l.liveGrants, a.Task)
	}
}

func (l *commandChecker) observe(cmd *apiv1.Command, res *apiv1.Result) {
	switch b := cmd.Body.(type) {
	case *apiv1.Command_Place:
		for i, g := range b.Place.Grants {
			if res.Grants[i].Verdict == apiv1.Verdict_VERDICT_ACCEPTED {
				l.grant(g)
			}
		}
	case *apiv1.Command_Lead:
		l.term = max(l.term, b.Lead.Term)
	case *apiv1.Command_Expire:
		if b.Expire.Term != l.term {
			return
		}
		for _, a := range b.Expire.Tasks {
			l.end(a)
		}
	case *apiv1.Command_RecordTasks:
		w := l.workers[b.RecordTasks.Worker]
		for _, e := range b.RecordTasks.Ends {
			if g := l.liveGrants[e.Task.Task]; g != nil && g.Worker == b.RecordTasks.Worker && w.Incarnation == b.RecordTasks.WorkerIncarnation {
				l.end(e.Task)
			}
		}
	case *apiv1.Command_RegisterWorker:
		l.register(b.RegisterWorker)
	case *apiv1.Command_ForgetWorkers:
		if res.Verdict == apiv1.Verdict_VERDICT_ACCEPTED {
			l.forget(b.ForgetWorkers.Workers[0].Worker)
		}
	}
}

func (l *commandChecker) grant(g *apiv1.Grant) {
	if l.liveGrants[g.Task] != nil {
		l.t.Fatalf("%s has two live attempts", g.Task)
	}
	if g.Attempt != l.lastAttempt[g.Task]+1 {
		l.t.Fatalf("%s went from attempt %d to %d", g.Task, l.lastAttempt[g.Task], g.Attempt)
	}
	l.lastAttempt[g.Task] = g.Attempt
	l.liveGrants[g.Task] = g
	w := l.workers[g.Worker]
	sum := w.Reserved.GetMilliProcessors()
	for _, o := range l.liveGrants {
		if o.Worker == g.Worker {
			sum += o.Resources.MilliProcessors
		}
	}
	if sum > w.Capacity.MilliProcessors {
		l.t.Fatalf("%s holds %d of %d", g.Worker, sum, w.Capacity.MilliProcessors)
	}
}

func (l *commandChecker) register(r *apiv1.RegisterWorker) {
	old := l.workers[r.Worker]
	if old != nil && old.Incarnation > r.Incarnation {
		return
	}
	l.workers[r.Worker] = r
	if old == nil || old.Incarnation == r.Incarnation {
		return
	}
	runs := map[string]uint64{}
	for _, a := range r.Running {
		runs[a.Task] = a.Attempt
	}
	for id, g := range l.liveGrants {
		if g.Worker == r.Worker && runs[id] != g.Attempt {
			delete(l.liveGrants, id)
		}
	}
}

func (l *commandChecker) forget(worker string) {
	for _, g := range l.liveGrants {
		if g.Worker == worker {
			l.t.Fatalf("%s is forgotten while it holds %s", worker, g.Task)
		}
	}
	delete(l.workers, worker)
}

// generator draws commands from small sets of names, so that late, repeated and
// contradictory ones are frequent.
type generator struct {
	t *rapid.T
	m *Machine
}

func (g generator) intBetween(lo, hi int, label string) int {
	return rapid.IntRange(lo, hi).Draw(g.t, label)
}

func (g generator) worker() string { return fmt.Sprintf("w%d", g.intBetween(0, 2, "worker")) }

func (g generator) job() string { return fmt.Sprintf("j%d", g.intBetween(0, 3, "job")) }

func (g generator) task() *apiv1.TaskAttempt {
	ids := sortedKeys(g.m.tasks)
	if len(ids) == 0 {
		return &apiv1.TaskAttempt{Task: "none", Attempt: 1}
	}
	t := g.m.tasks[ids[g.intBetween(0, len(ids)-1, "task")]]
	late := uint64(max(0, g.intBetween(-3, 1, "late")))
	return &apiv1.TaskAttempt{Task: t.id, Attempt: max(1, t.attempt) - min(late, max(1, t.attempt)-1)}
}

func (g generator) tasks() (list []*apiv1.TaskAttempt) {
	for range g.intBetween(1, 3, "tasks") {
		list = append(list, g.task())
	}
	return list
}

func (g generator) size(hi int) *apiv1.Resources {
	return &apiv1.Resources{MilliProcessors: int64(g.intBetween(0, hi, "size"))}
}

func (g generator) configuration(id string) *apiv1.Configuration {
	c := &apiv1.Configuration{TextDigest: id + fmt.Sprint(max(0, g.intBetween(-9, 1, "digest")))}
	for i := range 4 {
		if g.intBetween(0, 3, "declared") == 0 {
			continue
		}
		d := &apiv1.Job{Name: fmt.Sprintf("j%d", i), Tasks: int32(g.intBetween(0, 3, "count")), Team: fmt.Sprintf("t%d", g.intBetween(0, 1, "team")), MaxFailures: 2}
		if i > 0 && g.intBetween(0, 3, "depends") == 0 {
			d.DependsOn = []string{fmt.Sprintf("j%d", i-1)}
		}
		c.Jobs = append(c.Jobs, d)
	}
	c.Teams = []*apiv1.Team{{Name: "t0", Quota: g.size(30)}}
	return c
}

// asDelta is the same submission by delta, made from what its sender has.
func asDelta(have *apiv1.Configuration, s *apiv1.Submit) *apiv1.Submit {
	to := proto.CloneOf(s.Configuration)
	to.Version = have.Version + 1
	return &apiv1.Submit{SubmissionId: s.SubmissionId, BaseVersion: s.BaseVersion, Delta: configdelta.Diff(have, to)}
}

func (g generator) claim() *apiv1.Claim {
	return &apiv1.Claim{
		Key: fmt.Sprint("k", g.intBetween(0, 3, "key")), RequestDigest: []byte{byte(max(0, g.intBetween(-4, 1, "digest")))},
		RequestId: fmt.Sprint("r", g.intBetween(0, 3, "request")), Attempt: uint32(g.intBetween(1, 3, "attempt")),
		WindowMs: int64(g.intBetween(1, 200, "window")), KeyTimeMs: g.m.timeMs - int64(g.intBetween(0, 200, "age")),
		ReplacesAttempt: uint32(max(0, g.intBetween(-2, 2, "replaces"))),
	}
}

func (g generator) settle() *apiv1.Settle {
	return &apiv1.Settle{
		Key: fmt.Sprint("k", g.intBetween(0, 3, "key")), RequestId: fmt.Sprint("r", g.intBetween(0, 3, "request")),
		Attempt: uint32(g.intBetween(1, 3, "attempt")), Outcome: apiv1.Outcome(g.intBetween(0, 4, "outcome")),
		Response: &apiv1.HttpResponse{Body: make([]byte, g.intBetween(0, 9, "body"))},
	}
}

func (g generator) place() *apiv1.Place {
	p := &apiv1.Place{}
	for range g.intBetween(1, 3, "grants") {
		a, name := g.task(), g.worker()
		inc := uint64(0)
		if w := g.m.workers[name]; w != nil {
			inc = w.incarnation - uint64(max(0, g.intBetween(-6, 1, "stale")))
		}
		next := uint64(g.intBetween(0, 5, "next")+4) / 5
		p.Grants = append(p.Grants, &apiv1.Grant{Task: a.Task, Attempt: g.m.tasks[a.Task].attemptOrZero() + next, Worker: name, WorkerIncarnation: inc, Resources: g.size(12)})
	}
	return p
}

func (t *task) attemptOrZero() uint64 {
	if t == nil {
		return 0
	}
	return t.attempt
}

func (g generator) ends() *apiv1.RecordTasks {
	r := &apiv1.RecordTasks{Worker: g.worker(), WorkerIncarnation: uint64(g.intBetween(1, 3, "incarnation"))}
	if w := g.m.workers[r.Worker]; w != nil && g.intBetween(0, 3, "current") > 0 {
		r.WorkerIncarnation = w.incarnation
	}
	for _, a := range g.tasks() {
		r.Ends = append(r.Ends, &apiv1.TaskEnd{Task: a, Kind: apiv1.EndKind(g.intBetween(1, 3, "kind")), Checkpoint: fmt.Sprint("c", a.Attempt)})
	}
	return r
}

func (g generator) command() *apiv1.Command {
	c := &apiv1.Command{TimeMs: g.m.timeMs + int64(g.intBetween(-50, 100, "time"))}
	switch g.intBetween(0, 13, "command") {
	case 0:
		id := fmt.Sprint("s", g.intBetween(0, 30, "submission"))
		base := g.m.configuration.Version - uint64(max(0, g.intBetween(-4, 1, "base")))
		s := &apiv1.Submit{SubmissionId: id, BaseVersion: base, Configuration: g.configuration(id)}
		if g.intBetween(0, 1, "delta") == 1 {
			s = asDelta(g.m.configuration, s)
			s.Delta.Digest += uint64(max(0, g.intBetween(-9, 1, "damaged")))
		}
		c.Body = &apiv1.Command_Submit{Submit: s}
	case 1:
		c.Body = &apiv1.Command_RegisterWorker{RegisterWorker: &apiv1.RegisterWorker{
			Worker: g.worker(), Incarnation: uint64(g.intBetween(1, 4, "incarnation")), Capacity: g.size(40), Reserved: g.size(5), Running: g.tasks()}}
	case 2, 3, 4, 5:
		c.Body = &apiv1.Command_Place{Place: g.place()}
	case 6, 7:
		c.Body = &apiv1.Command_RecordTasks{RecordTasks: g.ends()}
	case 8:
		c.Body = &apiv1.Command_Evict{Evict: &apiv1.Evict{Tasks: g.tasks(), Reason: "test"}}
	case 9:
		a := g.tasks()
		if g.intBetween(0, 4, "lead") == 0 {
			c.Body = &apiv1.Command_Lead{Lead: &apiv1.Lead{Term: uint64(g.intBetween(0, 9, "term"))}}
			break
		}
		c.Body = &apiv1.Command_Expire{Expire: &apiv1.Expire{Tasks: a, Term: g.m.leaderTerm - uint64(max(0, g.intBetween(-4, 1, "old"))), Checkpoints: []*apiv1.TaskCheckpoint{{Task: a[0], Checkpoint: "x"}}}}
	case 10:
		c.Body = &apiv1.Command_Cancel{Cancel: &apiv1.Cancel{Jobs: []string{g.job()}}}
		if g.intBetween(0, 2, "park") > 0 {
			c.Body = &apiv1.Command_Park{Park: &apiv1.Park{Jobs: []string{g.job()}, Reason: "test", Wake: g.intBetween(0, 1, "wake") == 1}}
		}
	case 11:
		if g.intBetween(0, 3, "forget") == 0 {
			c.Body = &apiv1.Command_ForgetWorkers{ForgetWorkers: &apiv1.ForgetWorkers{
				Workers: []*apiv1.SilentWorker{{Worker: g.worker(), Incarnation: uint64(g.intBetween(1, 3, "incarnation"))}}}}
			break
		}
		c.Body = &apiv1.Command_Drain{Drain: &apiv1.Drain{Worker: g.worker(), Off: g.intBetween(0, 2, "off") > 0}}
	case 12:
		c.Body = &apiv1.Command_Claim{Claim: g.claim()}
	case 13:
		c.Body = &apiv1.Command_Settle{Settle: g.settle()}
	}
	return c
}

// Symptom: a host carries more than it holds, a task runs twice, or replicas
// disagree after one was restored from a snapshot. Sequence: any commands, among
// them late and repeated ones, with a snapshot taken and restored in between.
// Cause: a command judged by anything but the records, or an index that has
// drifted from them.
func TestRandomCommandsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, restored := New(), New()
		g := generator{t: t, m: m}
		l := &commandChecker{t: t, lastAttempt: map[string]uint64{}, liveGrants: map[string]*apiv1.Grant{}, workers: map[string]*apiv1.RegisterWorker{}}
		var log []*apiv1.Command
		for i := range 150 {
			cmd := g.command()
			if len(log) > 0 && g.intBetween(0, 9, "again") == 0 {
				cmd = log[g.intBetween(0, len(log)-1, "which")]
			}
			log = append(log, cmd)
			res := m.Apply(uint64(i+1), cmd)
			l.observe(cmd, res)
			if err := m.Check(); err != nil {
				t.Fatalf("after %v: %v", cmd, err)
			}
			if same := restored.Apply(uint64(i+1), cmd); !proto.Equal(res, same) {
				t.Fatalf("restored machine answers %v, not %v", same, res)
			}
			if g.intBetween(0, 9, "snapshot") == 0 {
				restored = restore(t, m)
			}
		}
		want, _ := m.Snapshot()
		got, _ := restored.Snapshot()
		if !bytes.Equal(want, got) {
			t.Fatal("the restored machine's state differs from the replayed one's")
		}
	})
}

func restore(t *rapid.T, m *Machine) *Machine {
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	r := New()
	if err := r.Restore(data); err != nil {
		t.Fatal(err)
	}
	return r
}

// Symptom: the configuration is one that no operator submitted, or a resend after
// a lost answer makes a version twice. Sequence: a delta is damaged; two others race
// from the same base; a snapshot comes between the base and the delta; the winner
// comes again whole. Cause: a delta applied to another base or without its digest,
// or an id not bound to the text in both forms.
func TestSubmissionsByDelta(t *testing.T) {
	m := New()
	index := uint64(0)
	submit := func(s *apiv1.Submit, want apiv1.Verdict, version uint64) {
		t.Helper()
		index++
		data, _ := m.Snapshot()
		if err := m.Restore(data); err != nil {
			t.Fatal(err)
		}
		res := m.Apply(index, &apiv1.Command{Body: &apiv1.Command_Submit{Submit: s}})
		if res.Verdict != want || m.Configuration().Version != version {
			t.Fatalf("%s: %v, version %d", s.SubmissionId, res, m.Configuration().Version)
		}
	}
	whole := func(id string, base uint64) *apiv1.Submit {
		c := &apiv1.Configuration{TextDigest: id, Text: "text of " + id + "\n", Jobs: []*apiv1.Job{{Name: id}}}
		return &apiv1.Submit{SubmissionId: id, BaseVersion: base, Configuration: c}
	}
	submit(whole("base", 0), apiv1.Verdict_VERDICT_ACCEPTED, 1)
	damaged := asDelta(m.Configuration(), whole("damaged", 1))
	damaged.Delta.Jobs[0].Insert[0].Name = "another"
	ann, bob := asDelta(m.Configuration(), whole("ann", 1)), asDelta(m.Configuration(), whole("bob", 1))
	moved := proto.CloneOf(bob)
	moved.SubmissionId, moved.BaseVersion = "moved", 2
	other := asDelta(m.Configuration(), whole("ann", 1))
	other.Delta.TextDigest = "other"
	submit(damaged, apiv1.Verdict_VERDICT_REFUSED, 1)
	submit(ann, apiv1.Verdict_VERDICT_ACCEPTED, 2)
	submit(bob, apiv1.Verdict_VERDICT_CONFLICT, 2)
	submit(moved, apiv1.Verdict_VERDICT_REFUSED, 2)
	submit(other, apiv1.Verdict_VERDICT_REFUSED, 2)
	submit(ann, apiv1.Verdict_VERDICT_REPEATED, 2)
	submit(whole("ann", 1), apiv1.Verdict_VERDICT_REPEATED, 2)
	want := whole("ann", 1).Configuration
	want.Version = 2
	if !proto.Equal(m.Configuration(), want) {
		t.Errorf("configuration %v", m.Configuration())
	}
}
