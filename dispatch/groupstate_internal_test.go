package dispatch

import (
	"testing"
	"time"
)

// Guards against the last part of a control host's log not showing who led. The state was logged at
// changes only, or by time alone: nothing changes for a long time on a quiet host, and a busy host
// writes 95 KB in less than the time between two state lines.
func TestGroupStateIsRepeated(t *testing.T) {
	now := time.Unix(100, 0)
	s := &StateReporter{}
	leads := groupState{term: 2, leader: "10.0.0.1:7000", leads: true}
	if !s.due(leads, now, 0) {
		t.Error("the first state is not due")
	}
	s.last, s.lastWritten, s.bytesAtLastWrite = leads, now, 10_000
	for name, c := range map[string]struct {
		seen   groupState
		after  time.Duration
		logged int64
		due    bool
	}{
		"unchanged":          {leads, time.Second, 10_100, false},
		"unchanged for long": {leads, stateRepeatInterval, 10_100, true},
		"many logged bytes":  {leads, time.Second, 10_000 + stateRepeatBytes, true},
		"new term":           {groupState{term: 3}, 0, 10_000, true},
		"new version":        {groupState{term: 2, leader: leads.leader, leads: true, version: 1}, 0, 10_000, true},
	} {
		if got := s.due(c.seen, now.Add(c.after), c.logged); got != c.due {
			t.Errorf("%s: due is %v", name, got)
		}
	}
}
