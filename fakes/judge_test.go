package fakes

import (
	"strings"
	"testing"
	"time"
)

func call(r CallResult) CallRecord {
	r.CallerID = "c-1"
	r.Sends = max(r.Sends, 1)
	return CallRecord{Result: &r}
}

// late makes a call of one second too long, through entry e1.
func late(r CallResult, at time.Duration) CallResult {
	r.Entry, r.At, r.Took, r.Bound = "e1", at, 8*time.Second, 7*time.Second
	return r
}

func frozen(entry string, from, to float64) []Standstill {
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	return []Standstill{{Entry: entry, From: seconds(from), To: seconds(to)}}
}

func summaryOf(started int) CallRecord { return CallRecord{Summary: &CallSummary{Started: started}} }

func event(kind EventKind, worker, task string, attempt uint64, at, deadline time.Duration, why string) RunEvent {
	return RunEvent{Kind: kind, Worker: worker, Incarnation: 1, Task: task, Attempt: attempt, At: at, Deadline: deadline, Why: why, Grant: Amount{MilliProcessors: 600}}
}

// Each case breaks one promise; the judge has to name it and nothing else.
func TestJudgeNamesTheBrokenPromise(t *testing.T) {
	ran := []RanRequest{{CallerID: "c-1", RequestID: "r-1", Target: "t1", At: 50}}
	own := CallResult{Outcome: Answered, Own: true, Method: "GET", Repeatable: true}
	cases := []struct {
		name  string
		e     Evidence
		rules Rules
		want  string
	}{
		{"clean", Evidence{Calls: []CallRecord{call(own), summaryOf(1)}, Ran: ran}, Rules{AllAnswered: true, MinAnswered: 1}, ""},
		{"foreign answer", Evidence{Calls: []CallRecord{call(CallResult{Outcome: Answered}), summaryOf(1)}, Ran: ran}, Rules{}, "own whole answer"},
		{"answer from nowhere", Evidence{Calls: []CallRecord{call(own), summaryOf(1)}}, Rules{}, "in no target's record"},
		{"not run, yet run", Evidence{Calls: []CallRecord{call(CallResult{Outcome: NotRun, RetryAfter: "1"}), summaryOf(1)}, Ran: ran}, Rules{}, "said not to have run"},
		{"resend not run, yet run", Evidence{Calls: []CallRecord{call(CallResult{Outcome: NotRun, RetryAfter: "1", Sends: 2, RequestID: "r-1"}), summaryOf(1)}, Ran: ran}, Rules{}, "said not to have run"},
		{"no time to come back", Evidence{Calls: []CallRecord{call(CallResult{Outcome: NotRun, Status: 503}), summaryOf(1)}}, Rules{}, "time to come back"},
		{"run twice", Evidence{Calls: []CallRecord{call(CallResult{Outcome: Unknown}), summaryOf(1)}, Ran: append(ran, ran...)}, Rules{MaxUnknown: 1}, "ran 2 times"},
		{"never ended", Evidence{Calls: []CallRecord{call(own), summaryOf(2)}, Ran: ran}, Rules{}, "2 calls began and 1 ended"},
		{"no final answer", Evidence{Calls: []CallRecord{call(CallResult{Outcome: NoAnswer}), summaryOf(1)}}, Rules{}, "without a final answer"},
		{"late answer", Evidence{Calls: []CallRecord{call(late(own, 0)), summaryOf(1)}, Ran: ran}, Rules{}, "ended after 8s"},
		{"late refusal", Evidence{Calls: []CallRecord{call(late(CallResult{Outcome: NotRun, RetryAfter: "1"}, 0)), summaryOf(1)}}, Rules{}, "ended after 8s"},
		{"late cut-off", Evidence{Calls: []CallRecord{call(late(CallResult{Outcome: Lost}, 0)), summaryOf(1)}}, Rules{MaxLost: 1}, "ended after 8s"},
		{"late, entry frozen", Evidence{Calls: []CallRecord{call(late(own, 0)), summaryOf(1)}, Ran: ran, Standstills: frozen("e1", 4, 6)}, Rules{}, ""},
		{"late, entry frozen before the call too", Evidence{Calls: []CallRecord{call(late(own, 5*time.Second)), summaryOf(1)}, Ran: ran, Standstills: frozen("e1", 3, 6)}, Rules{}, ""},
		{"late, entry frozen for less", Evidence{Calls: []CallRecord{call(late(own, 0)), summaryOf(1)}, Ran: ran, Standstills: frozen("e1", 4, 4.5)}, Rules{}, "ended after 8s"},
		{"late, entry frozen before", Evidence{Calls: []CallRecord{call(late(own, 6*time.Second)), summaryOf(1)}, Ran: ran, Standstills: frozen("e1", 3, 6)}, Rules{}, "ended after 8s"},
		{"late, another entry frozen", Evidence{Calls: []CallRecord{call(late(own, 0)), summaryOf(1)}, Ran: ran, Standstills: frozen("e2", 4, 6)}, Rules{}, "ended after 8s"},
		{"no answer after a freeze", Evidence{Calls: []CallRecord{call(late(CallResult{Outcome: NoAnswer}, 0)), summaryOf(1)}, Standstills: frozen("e1", 4, 6)}, Rules{}, "without a final answer"},
		{"cut off", Evidence{Calls: []CallRecord{call(CallResult{Outcome: Lost}), summaryOf(1)}}, Rules{}, "1 calls were cut off"},
		{"work after it left", Evidence{Ran: []RanRequest{{Target: "t1", Left: true}, {Target: "t1", At: leaveGrace + 1}}}, Rules{}, "after it had left"},
		{"work as it left", Evidence{Ran: []RanRequest{{Target: "t1", Left: true}, {Target: "t1", At: leaveGrace}}}, Rules{}, ""},
		{"two places", Evidence{Workers: []RunEvent{
			event(EventStart, "w1", "job/0", 1, 0, 100, ""),
			event(EventStart, "w2", "job/0", 2, 99, 200, ""),
		}}, Rules{}, "at once"},
		{"one place after the other", Evidence{Workers: []RunEvent{
			event(EventStart, "w1", "job/0", 1, 0, 100, ""),
			event(EventStart, "w2", "job/0", 2, 100, 200, ""),
		}}, Rules{}, ""},
		{"renewed lease counts", Evidence{Workers: []RunEvent{
			event(EventStart, "w1", "job/0", 1, 0, 100, ""),
			event(EventRenew, "w1", "job/0", 1, 50, 150, ""),
			event(EventStart, "w2", "job/0", 2, 120, 200, ""),
		}}, Rules{}, "at once"},
		{"same attempt twice", Evidence{Workers: []RunEvent{
			event(EventStart, "w1", "job/0", 1, 0, 100, ""),
			event(EventStart, "w2", "job/0", 1, 100, 200, ""),
		}}, Rules{}, "attempt 1 after attempt 1"},
		{"again after the end", Evidence{Workers: []RunEvent{
			event(EventStart, "w1", "job/0", 1, 0, 100, ""),
			event(EventEnd, "w1", "job/0", 1, 10, 0, WhySucceeded),
			event(EventStart, "w1", "job/0", 2, 20, 200, ""),
		}}, Rules{}, "ran again"},
		{"more than it has", Evidence{Workers: []RunEvent{
			{Kind: EventWorkerStart, Worker: "w1", Incarnation: 1, Capacity: Amount{MilliProcessors: 1000}},
			event(EventStart, "w1", "a", 1, 0, 100, ""),
			event(EventStart, "w1", "b", 1, 50, 100, ""),
		}}, Rules{}, "worker w1 held"},
		{"revived", Evidence{Workers: []RunEvent{
			event(EventStart, "w1", "a", 1, 0, 100, ""),
			event(EventRenew, "w1", "a", 1, 100, 150, ""),
		}}, Rules{}, "renewed a/1 after its deadline"},
		{"past the deadline", Evidence{Workers: []RunEvent{
			event(EventStart, "w1", "a", 1, 0, 100, ""),
			event(EventEnd, "w1", "a", 1, 101, 0, WhyStopped),
		}}, Rules{}, "past its deadline"},
	}
	for _, c := range cases {
		got := Judge(c.e, c.rules)
		switch {
		case c.want == "" && len(got) > 0:
			t.Errorf("%s: judged %q, want nothing", c.name, got)
		case c.want != "" && (len(got) != 1 || !strings.Contains(got[0], c.want)):
			t.Errorf("%s: judged %q, want only %q", c.name, got, c.want)
		}
	}
}
