package dispatch

import (
	"testing"
	"time"
)

// Symptom: the last part of a control host's log does not say who led.
// Sequence: nothing changes for long, on a quiet host, or on a busy one that writes
// 95 KB in less than the time between two lines of state.
// Cause: a line of state at changes only, or by the clock alone.
func TestGroupStateIsRepeated(t *testing.T) {
	now := time.Unix(100, 0)
	s := &StateReporter{}
	leads := groupState{term: 2, leader: "10.0.0.1:7000", leads: true}
	if !s.due(leads, now, 0) {
		t.Error("the first state gets no line")
	}
	s.last, s.lastWritten, s.bytesAtLastWrite = leads, now, 10_000
	for name, c := range map[string]struct {
		seen   groupState
		after  time.Duration
		logged int64
		due    bool
	}{
		"the same":        {leads, time.Second, 10_100, false},
		"long the same":   {leads, stateRepeatInterval, 10_100, true},
		"many lines":      {leads, time.Second, 10_000 + stateRepeatBytes, true},
		"another term":    {groupState{term: 3}, 0, 10_000, true},
		"another version": {groupState{term: 2, leader: leads.leader, leads: true, version: 1}, 0, 10_000, true},
	} {
		if got := s.due(c.seen, now.Add(c.after), c.logged); got != c.due {
			t.Errorf("%s: %v", name, got)
		}
	}
}
