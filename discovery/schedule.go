package discovery

import (
	"slices"
	"time"
)

const (
	// heardPeriod is how long a directory that requested the members from this leader counts as one
	// that knows the group. It is one and a half of a directory's refresh intervals.
	heardPeriod = 3 * time.Second
	// A host that doesn't answer is told again after an eighth of the time for which it has not
	// answered, so that it hears soon after it is back, and one that is gone costs little.
	minRetry      = 250 * time.Millisecond
	maxRetry      = 30 * time.Second
	retryFraction = 8
	// maxAtOnce bounds the announcements under way.
	maxAtOnce = 32
)

// schedule decides which hosts the leader tells where the group is, and when. It is not safe for
// concurrent use.
type schedule struct {
	hosts    map[string]*host
	underWay int
}

type host struct {
	// notBefore is when the host may be told next.
	notBefore time.Time
	// failingSince is the first announcement that no answered one followed.
	failingSince time.Time
	underWay     bool
}

func newSchedule() *schedule { return &schedule{hosts: map[string]*host{}} }

// due returns the targets to tell now, and forgets all other hosts. Each of them has to be passed to
// finished.
func (s *schedule) due(targets []string, now time.Time) []string {
	wanted := map[string]bool{}
	for _, t := range targets {
		wanted[t] = true
		if s.hosts[t] == nil {
			s.hosts[t] = &host{}
		}
	}
	var list []string
	for address, h := range s.hosts {
		switch {
		case h.underWay:
		case !wanted[address]:
			delete(s.hosts, address)
		case !now.Before(h.notBefore):
			list = append(list, address)
		}
	}
	// Hosts that have waited longest go first, so that none waits forever behind others.
	slices.SortFunc(list, func(a, b string) int { return s.hosts[a].notBefore.Compare(s.hosts[b].notBefore) })
	list = list[:min(len(list), maxAtOnce-s.underWay)]
	for _, address := range list {
		s.hosts[address].underWay = true
	}
	s.underWay += len(list)
	return list
}

// heard records that a host requested the members.
func (s *schedule) heard(address string, now time.Time) {
	h := s.hosts[address]
	if h == nil {
		h = &host{}
		s.hosts[address] = h
	}
	h.notBefore, h.failingSince = now.Add(heardPeriod), time.Time{}
}

// finished records the result of an announcement that began at start.
func (s *schedule) finished(address string, answered bool, start, now time.Time) {
	s.underWay--
	h := s.hosts[address]
	h.underWay = false
	if answered {
		h.notBefore, h.failingSince = latest(h.notBefore, now.Add(heardPeriod)), time.Time{}
		return
	}
	if h.failingSince.IsZero() {
		h.failingSince = start
	}
	wait := now.Sub(h.failingSince) / retryFraction
	h.notBefore = latest(h.notBefore, now.Add(min(max(wait, minRetry), maxRetry)))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
