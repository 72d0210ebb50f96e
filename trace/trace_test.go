package trace_test

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/trace"
	"github.com/cairnlift/cairnlift/trace/tracetest"
)

const tracedJob = "7d068002bf51c04d"

// Guards against a timeline that shows the end of a task before its start because lines are ordered
// by clocks that differ. A leader starts a run, and the next leader starts the second one; the
// clock of the agent is three seconds slow, that of the second leader one second fast.
func TestOrderWithSkewedClocks(t *testing.T) {
	taskLine := func(event string, run int, more string) string {
		return fmt.Sprintf(`"part":"dispatch","msg":%q,"task":"%s/0/0/1","run":%d%s`, event, tracedJob, run, more)
	}
	var lines []trace.Line
	lines = append(lines, tracetest.Lines(t, "a/control", 0,
		`0 "part":"dispatch","msg":"leader is ready","term":2`,
		"100 "+taskLine("start", 1, `,"term":2,"worker":"w1"`),
		`150 "part":"dispatch","msg":"tasks wait","job":"another"`,
		`2000 "part":"dispatch","msg":"lease ran out","term":2,"worker":"w1"`,
		`2001 "part":"dispatch","msg":"lease ran out","term":2,"worker":"w9"`,
	)...)
	lines = append(lines, tracetest.Lines(t, "b/control", time.Second,
		`2500 "part":"dispatch","msg":"leader is ready","term":3`,
		"2600 "+taskLine("start", 2, `,"term":3,"worker":"w2"`),
		"4000 "+taskLine("run ended", 2, `,"worker":"w2","how":"done"`),
	)...)
	lines = append(lines, tracetest.Lines(t, "w2/agent", -3*time.Second,
		"2610 "+taskLine("start answered", 2, `,"answer":"done"`),
	)...)
	lines = append(lines, tracetest.Lines(t, "c/entry", 0,
		`90 "part":"frontend","msg":"request","method":"POST","path":"/q/`+tracedJob+`","status":200`,
	)...)
	got := trace.Order(trace.Select(lines, tracedJob))
	var events []string
	for i, l := range got.Lines {
		events = append(events, l.Process+" "+l.Event)
		if i > 0 && l.At.Before(got.Lines[i-1].At) && l.Process != got.Lines[i-1].Process {
			t.Errorf("%s has an earlier time than the line above it", l.Event)
		}
	}
	want := []string{
		"a/control leader is ready", "c/entry request", "a/control start", "a/control lease ran out", "b/control leader is ready", "b/control start",
		"w2/agent start answered", "b/control run ended",
	}
	if fmt.Sprint(events) != fmt.Sprint(want) {
		t.Errorf("the order is\n%s\nwant\n%s", strings.Join(events, "\n"), strings.Join(want, "\n"))
	}
	if len(got.Shifts) != 1 || got.Shifts[0].Process != "w2/agent" || got.Shifts[0].By < 3*time.Second {
		t.Errorf("shifts %v", got.Shifts)
	}
}

// Guards against a stop of a run that is shown before its start: the leader aggregates the starts
// and ends of a second into one line, which it writes after the line of the stop, and the position
// in the log is used as the order.
func TestAggregatedRunsKeepTheirTimes(t *testing.T) {
	lines := tracetest.Lines(t, "a/control", 0,
		`400 "part":"dispatch","msg":"stop","term":2,"task":"`+tracedJob+`/0/0/1","run":1`,
		`500 "process":"b/control","part":"dispatch","msg":"leader is not ready","term":1`,
		`1000 "part":"dispatch","msg":"runs","term":2,"started":{"w1":["`+tracedJob+`/0/0/1 1 900","broken"],"w2":["other/0/0/1 1 5"]},`+
			`"ended":{"w1":["`+tracedJob+`/0/0/2 3 10"]}`,
		`1001 "part":"dispatch","msg":"tasks wait","term":2,"waits":{"processors 3":["`+tracedJob+`/0/1 4 700 300","other/0/0 1 0 0"]}`,
	)
	lines = append(lines, tracetest.Lines(t, "w1/agent", 0,
		`110 "part":"runs","msg":"start answered","task":"`+tracedJob+`/0/0/1","run":1,"answer":"done"`)...)
	got := trace.Order(trace.Select(lines, tracedJob))
	var events []string
	for _, l := range got.Lines {
		events = append(events, fmt.Sprint(l.Event, " ", cmp.Or(l.Fields["task"], l.Fields["step"]), " ", l.Fields["run"], " ", cmp.Or(l.Fields["worker"], l.Fields["workers"])))
	}
	want := []string{
		"start " + tracedJob + "/0/0/1 1 w1", "start answered " + tracedJob + "/0/0/1 1 <nil>",
		"stop " + tracedJob + "/0/0/1 1 <nil>", "tasks wait " + tracedJob + "/0/1 <nil> processors 3", "run ended " + tracedJob + "/0/0/2 3 w1",
	}
	if fmt.Sprint(events) != fmt.Sprint(want) || len(got.Shifts) > 0 {
		t.Errorf("the order is\n%s\nwant\n%s\nclock shifts: %v", strings.Join(events, "\n"), strings.Join(want, "\n"), got.Shifts)
	}
}

// Guards against lines that are missing from a timeline because rules contradict each other, for
// instance after a run was ordered twice.
func TestContradictingRulesDropNoLine(t *testing.T) {
	line := func(event string) string {
		return fmt.Sprintf(`"part":"dispatch","msg":%q,"task":"%s/0/0/1","run":1`, event, tracedJob)
	}
	lines := tracetest.Lines(t, "a", 0, "0 "+line("start"), "10 "+line("run ended"))
	lines = append(lines, tracetest.Lines(t, "b", 0, "5 "+line("run ended"), "6 "+line("start"), "7 "+line("start answered"))...)
	if got := trace.Order(trace.Select(lines, tracedJob)); len(got.Lines) != len(lines) {
		t.Errorf("the timeline has %d of %d lines", len(got.Lines), len(lines))
	}
}

func FuzzRead(f *testing.F) {
	f.Add(`{"ts":"2026-01-01T00:00:00Z","msg":"start","task":"a/0/0/1","run":1}`)
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := trace.Read(strings.NewReader(text), "file")
		if err != nil {
			return
		}
		about := trace.Select(lines, "a")
		if got := trace.Order(about); len(got.Lines) != len(about) {
			t.Errorf("the timeline has %d of %d lines", len(got.Lines), len(about))
		}
	})
}

// Guards against a timeline without the time that a run had worked when its worker crashed.
func TestWorkerCrashShowsEachRun(t *testing.T) {
	lines := tracetest.Lines(t, "a/control", 0,
		`400 "part":"dispatch","msg":"worker crashed","term":2,"worker":"w1","running":3,"worked":{"w1":["`+tracedJob+`/0/0/1 2 8","other/0/0/1 1 90","broken"]}`,
	)
	got := trace.Select(lines, tracedJob)
	if len(got) != 1 || got[0].Fields["worked"] != 8*time.Millisecond || got[0].Fields["run"] != 2.0 || got[0].Fields["worker"] != "w1" {
		t.Errorf("the lines are %v", got)
	}
}

// Guards against the end of an outage that is shown when its line was written, which may be seconds later,
// and against lines of earlier releases, without that time, that are left out.
func TestEndsOfOutagesKeepTheirTimes(t *testing.T) {
	lines := tracetest.Lines(t, "a/control", 0,
		`9000 "part":"dispatch","msg":"long-running tasks are back","term":1,"tasks_back":{"w1":["`+tracedJob+`/0/0/1 2 5700 4000","`+tracedJob+`/0/0/2 1 5800"]}`,
	)
	got := trace.Select(lines, tracedJob)
	if len(got) != 2 || got[1].At.Sub(got[0].At) != 4*time.Second || got[0].Fields["waited"] != 5700*time.Millisecond || got[1].Fields["waited"] != 5800*time.Millisecond {
		t.Errorf("the lines are %v", got)
	}
}

// Guards against clocks that are moved by seconds to put lines of a deposed leader before its
// successor, and against such lines being taken for those of the leader. A leader is suspended from
// 3 s to 9 s and writes a line when it resumes; its successor is ready at 4 s. Also guards against
// a successor's slow clock that is not moved after the starts that its predecessor committed.
func TestLinesOfDeposedLeader(t *testing.T) {
	for _, clockOffset := range []time.Duration{0, -2 * time.Second} {
		lines := tracetest.Lines(t, "a/control", 0,
			`0 "part":"dispatch","msg":"leader is ready","term":1`,
			`3000 "part":"dispatch","msg":"runs","term":1,"started":{"w1":["`+tracedJob+`/0/0/1 1 0"]}`,
			`9000 "part":"dispatch","msg":"long-running tasks are away","term":1,"tasks_away":{"no report of its worker":["`+tracedJob+`/0/0/1 1 w1 5700"]}`,
			`9001 "part":"group","msg":"state","term":1,"leads":true`,
			`9002 "part":"group","msg":"state","term":1,"leads":false`,
		)
		lines = append(lines, tracetest.Lines(t, "w1/agent", 0,
			`3010 "part":"runs","msg":"start answered","task":"`+tracedJob+`/0/0/1","run":1,"answer":"done"`)...)
		lines = append(lines, tracetest.Lines(t, "b/control", clockOffset,
			`4000 "part":"dispatch","msg":"leader is ready","term":2`,
			`9500 "part":"dispatch","msg":"stop","term":2,"task":"`+tracedJob+`/0/0/1","run":1`)...)
		got := trace.Order(lines)
		var deposed []string
		for _, l := range got.Lines {
			if l.Deposed {
				deposed = append(deposed, fmt.Sprint(l.Process, " ", l.Event))
			}
		}
		if want := []string{"a/control long-running tasks are away", "a/control state"}; fmt.Sprint(deposed) != fmt.Sprint(want) {
			t.Errorf("offset %v: lines %q are those of a deposed leader, want %q", clockOffset, deposed, want)
		}
		moved := len(got.Shifts) == 1 && got.Shifts[0].Process == "b/control" && got.Shifts[0].By <= -clockOffset
		if clockOffset == 0 && len(got.Shifts) > 0 || clockOffset != 0 && !moved {
			t.Errorf("offset %v: clocks are moved by %v", clockOffset, got.Shifts)
		}
	}
}

// Guards against a timeline of a job that does not show why it waited: an operator held its queue, and put
// the job first later.
func TestOrdersOfOperatorsAreTraced(t *testing.T) {
	lines := tracetest.Lines(t, "a/control", 0,
		`50 "part":"dispatch","msg":"hold of a queue changed","term":2,"queue":"before","held":true`,
		`90 "part":"frontend","msg":"request","job":"`+tracedJob+`","account":"team"`,
		`100 "part":"dispatch","msg":"hold of a queue changed","term":2,"queue":"q","held":true`,
		`200 "part":"operator","msg":"order to prioritize a job","job":"another"`,
		`300 "part":"operator","msg":"order to prioritize a job","job":"`+tracedJob+`","operator":"op"`,
		`400 "part":"dispatch","msg":"hold of a queue changed","term":2,"queue":"q","held":false`,
		`500 "part":"dispatch","msg":"stop","task":"`+tracedJob+`/0/0/1","run":1`,
	)
	var events []string
	for _, l := range trace.Order(trace.Select(lines, tracedJob)).Lines {
		events = append(events, l.Event)
	}
	want := "request, hold of a queue changed, order to prioritize a job, hold of a queue changed, stop"
	if got := strings.Join(events, ", "); got != want {
		t.Errorf("the events are %s, want %s", got, want)
	}
}
