package admission

import (
	"testing"
	"time"
)

// Guards against a job that is accepted since little work is ahead of it, while running tasks hold all
// processors for longer than it is allowed, and against one that is refused although they end in time.
func TestEndsOfRunningTasksDecideOnShortQueues(t *testing.T) {
	const allowed = 1500 * ms
	held := func(in time.Duration, free int64) Backlog {
		return Backlog{
			Drain: Work{CoreMs: 100_000}, Trusted: true, FreeMilli: free,
			Releases: []Release{{In: in, CoreMilli: 100_000 - free}},
		}
	}
	queued := held(700*ms, 0)
	queued.Ahead = Work{CoreMs: 95_000, Slots: 95_000} // it gets 95 of the processors, for a second
	for name, test := range map[string]struct {
		backlog Backlog
		want    Reason
	}{
		"all processors are held":               {held(2*second, 0), TooLate},
		"the others are held":                   {held(2*second, 9000), TooLate},
		"enough are free":                       {held(2*second, 10_000), Accepted},
		"the tasks end in time":                 {held(700*ms, 0), Accepted},
		"they end in time for those ahead only": {queued, TooLate},
		"not known":                             {Backlog{Drain: Work{CoreMs: 100_000}, Trusted: true}, Accepted},
	} {
		c, now := New(Estimate, 1), time.UnixMilli(0)
		r := request("a", "job")
		r.Work.Slots, r.Width, r.Allowed = 10_000, 10_000, allowed
		if got := c.Decide(r, test.backlog, now).Reason; got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
}
