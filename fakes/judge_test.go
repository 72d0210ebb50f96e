package fakes

import (
	"strings"
	"testing"
	"time"
)

func callRecord(r CallResult) CallRecord {
	r.CallerID = "c-1"
	r.Sends = max(r.Sends, 1)
	return CallRecord{Result: &r}
}

// exceedDuration makes a call of one second too long, through entry e1.
func exceedDuration(r CallResult, at time.Duration) CallResult {
	r.Entry, r.At, r.Duration, r.MaxDuration = "e1", at, 8*time.Second, 7*time.Second
	return r
}

func freezeOf(entry string, from, to float64) []Freeze {
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	return []Freeze{{Entry: entry, From: seconds(from), To: seconds(to)}}
}

func summaryOf(started int) CallRecord { return CallRecord{Summary: &CallSummary{Started: started}} }

func runEvent(kind EventKind, worker, task string, attempt uint64, at, deadline time.Duration, why string) RunEvent {
	return RunEvent{Kind: kind, Worker: worker, Incarnation: 1, Task: task, Attempt: attempt, At: at, Deadline: deadline, EndReason: why, Grant: Amount{MilliProcessors: 600}}
}

// Each case breaks one promise; the judge has to name it and nothing else.
func TestCheckReportsViolatedGuarantee(t *testing.T) {
	ran := []ExecutedRequest{{CallerID: "c-1", RequestID: "r-1", Target: "t1", At: 50}}
	own := CallResult{Outcome: Answered, Correct: true, Method: "GET", Repeatable: true}
	cases := []struct {
		name  string
		e     Records
		rules Rules
		want  string
	}{
		{"clean", Records{Calls: []CallRecord{callRecord(own), summaryOf(1)}, Executed: ran}, Rules{AllAnswered: true, MinAnswered: 1}, ""},
		{"foreign answer", Records{Calls: []CallRecord{callRecord(CallResult{Outcome: Answered}), summaryOf(1)}, Executed: ran}, Rules{}, "own whole answer"},
		{"answer from nowhere", Records{Calls: []CallRecord{callRecord(own), summaryOf(1)}}, Rules{}, "in no target's record"},
		{"not run, yet run", Records{Calls: []CallRecord{callRecord(CallResult{Outcome: NotRun, RetryAfter: "1"}), summaryOf(1)}, Executed: ran}, Rules{}, "said not to have run"},
		{"resend not run, yet run", Records{Calls: []CallRecord{callRecord(CallResult{Outcome: NotRun, RetryAfter: "1", Sends: 2, RequestID: "r-1"}), summaryOf(1)}, Executed: ran}, Rules{}, "said not to have run"},
		{"no time to come back", Records{Calls: []CallRecord{callRecord(CallResult{Outcome: NotRun, Status: 503}), summaryOf(1)}}, Rules{}, "time to come back"},
		{"run twice", Records{Calls: []CallRecord{callRecord(CallResult{Outcome: Unknown}), summaryOf(1)}, Executed: append(ran, ran...)}, Rules{MaxUnknown: 1}, "ran 2 times"},
		{"never ended", Records{Calls: []CallRecord{callRecord(own), summaryOf(2)}, Executed: ran}, Rules{}, "2 calls began and 1 ended"},
		{"no final answer", Records{Calls: []CallRecord{callRecord(CallResult{Outcome: NoAnswer}), summaryOf(1)}}, Rules{}, "without a final answer"},
		{"late answer", Records{Calls: []CallRecord{callRecord(exceedDuration(own, 0)), summaryOf(1)}, Executed: ran}, Rules{}, "ended after 8s"},
		{"late refusal", Records{Calls: []CallRecord{callRecord(exceedDuration(CallResult{Outcome: NotRun, RetryAfter: "1"}, 0)), summaryOf(1)}}, Rules{}, "ended after 8s"},
		{"late cut-off", Records{Calls: []CallRecord{callRecord(exceedDuration(CallResult{Outcome: Lost}, 0)), summaryOf(1)}}, Rules{MaxLost: 1}, "ended after 8s"},
		{"late, entry frozen", Records{Calls: []CallRecord{callRecord(exceedDuration(own, 0)), summaryOf(1)}, Executed: ran, Freezes: freezeOf("e1", 4, 6)}, Rules{}, ""},
		{"late, entry frozen before the call too", Records{Calls: []CallRecord{callRecord(exceedDuration(own, 5*time.Second)), summaryOf(1)}, Executed: ran, Freezes: freezeOf("e1", 3, 6)}, Rules{}, ""},
		{"late, entry frozen for less", Records{Calls: []CallRecord{callRecord(exceedDuration(own, 0)), summaryOf(1)}, Executed: ran, Freezes: freezeOf("e1", 4, 4.5)}, Rules{}, "ended after 8s"},
		{"late, entry frozen before", Records{Calls: []CallRecord{callRecord(exceedDuration(own, 6*time.Second)), summaryOf(1)}, Executed: ran, Freezes: freezeOf("e1", 3, 6)}, Rules{}, "ended after 8s"},
		{"late, another entry frozen", Records{Calls: []CallRecord{callRecord(exceedDuration(own, 0)), summaryOf(1)}, Executed: ran, Freezes: freezeOf("e2", 4, 6)}, Rules{}, "ended after 8s"},
		{"no answer after a freeze", Records{Calls: []CallRecord{callRecord(exceedDuration(CallResult{Outcome: NoAnswer}, 0)), summaryOf(1)}, Freezes: freezeOf("e1", 4, 6)}, Rules{}, "without a final answer"},
		{"cut off", Records{Calls: []CallRecord{callRecord(CallResult{Outcome: Lost}), summaryOf(1)}}, Rules{}, "1 calls were cut off"},
		{"work after it left", Records{Executed: []ExecutedRequest{{Target: "t1", Left: true}, {Target: "t1", At: leaveGrace + 1}}}, Rules{}, "after it had left"},
		{"work as it left", Records{Executed: []ExecutedRequest{{Target: "t1", Left: true}, {Target: "t1", At: leaveGrace}}}, Rules{}, ""},
		{"two places", Records{Workers: []RunEvent{
			runEvent(EventStart, "w1", "job/0", 1, 0, 100, ""),
			runEvent(EventStart, "w2", "job/0", 2, 99, 200, ""),
		}}, Rules{}, "at once"},
		{"one place after the other", Records{Workers: []RunEvent{
			runEvent(EventStart, "w1", "job/0", 1, 0, 100, ""),
			runEvent(EventStart, "w2", "job/0", 2, 100, 200, ""),
		}}, Rules{}, ""},
		{"renewed lease counts", Records{Workers: []RunEvent{
			runEvent(EventStart, "w1", "job/0", 1, 0, 100, ""),
			runEvent(EventRenew, "w1", "job/0", 1, 50, 150, ""),
			runEvent(EventStart, "w2", "job/0", 2, 120, 200, ""),
		}}, Rules{}, "at once"},
		{"same attempt twice", Records{Workers: []RunEvent{
			runEvent(EventStart, "w1", "job/0", 1, 0, 100, ""),
			runEvent(EventStart, "w2", "job/0", 1, 100, 200, ""),
		}}, Rules{}, "attempt 1 after attempt 1"},
		{"again after the end", Records{Workers: []RunEvent{
			runEvent(EventStart, "w1", "job/0", 1, 0, 100, ""),
			runEvent(EventEnd, "w1", "job/0", 1, 10, 0, EndReasonSucceeded),
			runEvent(EventStart, "w1", "job/0", 2, 20, 200, ""),
		}}, Rules{}, "ran again"},
		{"more than it has", Records{Workers: []RunEvent{
			{Kind: EventWorkerStart, Worker: "w1", Incarnation: 1, Capacity: Amount{MilliProcessors: 1000}},
			runEvent(EventStart, "w1", "a", 1, 0, 100, ""),
			runEvent(EventStart, "w1", "b", 1, 50, 100, ""),
		}}, Rules{}, "worker w1 held"},
		{"revived", Records{Workers: []RunEvent{
			runEvent(EventStart, "w1", "a", 1, 0, 100, ""),
			runEvent(EventRenew, "w1", "a", 1, 100, 150, ""),
		}}, Rules{}, "renewed a/1 after its deadline"},
		{"past the deadline", Records{Workers: []RunEvent{
			runEvent(EventStart, "w1", "a", 1, 0, 100, ""),
			runEvent(EventEnd, "w1", "a", 1, 101, 0, EndReasonStopped),
		}}, Rules{}, "past its deadline"},
	}
	for _, c := range cases {
		got := Check(c.e, c.rules)
		switch {
		case c.want == "" && len(got) > 0:
			t.Errorf("%s: judged %q, want nothing", c.name, got)
		case c.want != "" && (len(got) != 1 || !strings.Contains(got[0], c.want)):
			t.Errorf("%s: judged %q, want only %q", c.name, got, c.want)
		}
	}
}
