package discovery

import (
	"fmt"
	"testing"
	"time"
)

// play runs a schedule at virtual time for a while and returns the announcements to each target.
// Every hearing interval, the targets for which polls returns true request the members.
func play(targets []string, length time.Duration, answers, polls func(target string, at time.Duration) bool) map[string][]time.Duration {
	const pollInterval = 2 * time.Second
	start := time.Unix(1000, 0)
	s := newSchedule()
	told := map[string][]time.Duration{}
	for at := time.Duration(0); at < length; at += checkInterval {
		now := start.Add(at)
		for _, t := range targets {
			if at%pollInterval == 0 && polls(t, at) {
				s.heard(t, now)
			}
		}
		for _, t := range s.due(targets, now) {
			told[t] = append(told[t], at)
			s.finished(t, answers(t, at), now, now)
		}
	}
	return told
}

func always(string, time.Duration) bool { return true }
func never(string, time.Duration) bool  { return false }

// Guards against a leader that calls all control hosts all the time: hosts that request the members from
// it are not told, and those that are gone cost few calls.
func TestAnnouncementsAreFew(t *testing.T) {
	for _, n := range []int{3, 30, 300} {
		var targets []string
		for i := range n {
			targets = append(targets, fmt.Sprintf("10.1.%d.%d:7720", i/250, i%250))
		}
		if told := play(targets, time.Minute, always, always); len(told) != 0 {
			t.Errorf("%d hosts that poll: %d were told", n, len(told))
		}
		told := play(targets, 10*time.Minute, never, never)
		calls := 0
		for _, at := range told {
			calls += len(at)
		}
		// An eighth of the outage between two calls, at most 30 s.
		if perHost := calls / n; perHost > 60 {
			t.Errorf("%d hosts that are gone: %d calls to each in 10 min", n, perHost)
		}
	}
}

// Guards against a host that isn't told within a quarter of its outage, and a second, after it is back, and
// against one that is told once only although it doesn't find the leader.
func TestHostThatIsBackIsTold(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second, time.Minute, 10 * time.Minute} {
		told := play([]string{"a"}, outage+time.Minute, func(_ string, at time.Duration) bool { return at >= outage }, never)["a"]
		for i, at := range told {
			if at < outage {
				continue
			}
			if late := at - outage; late > time.Second+outage/4 || late > maxRetry {
				t.Errorf("told %v after an outage of %v", late, outage)
			}
			if i+1 < len(told) && told[i+1]-at > heardPeriod+checkInterval {
				t.Errorf("told again after %v", told[i+1]-at)
			}
			break
		}
	}
}

// Guards against hosts that are never told because the calls to others take up the bound.
func TestHostsTakeTurns(t *testing.T) {
	var targets []string
	for i := range 4 * maxAtOnce {
		targets = append(targets, fmt.Sprint(i))
	}
	told := play(targets, time.Minute, func(target string, _ time.Duration) bool { return target > "5" }, never)
	if len(told) != len(targets) {
		t.Errorf("%d of %d hosts were told", len(told), len(targets))
	}
}

// Guards against a leader that keeps calling addresses that are no targets any more, and against a host
// that is told twice at the same time.
func TestScheduleFollowsTargets(t *testing.T) {
	s, now := newSchedule(), time.Unix(1000, 0)
	if got := s.due([]string{"a", "b"}, now); len(got) != 2 {
		t.Fatal(got)
	}
	if got := s.due([]string{"b"}, now.Add(time.Minute)); len(got) != 0 {
		t.Errorf("told while a call is under way: %v", got)
	}
	s.finished("a", true, now, now)
	s.finished("b", true, now, now)
	if got := s.due([]string{"b"}, now.Add(time.Minute)); len(got) != 1 || got[0] != "b" {
		t.Errorf("told: %v", got)
	}
	if s.hosts["a"] != nil {
		t.Error("a former target is remembered")
	}
}
