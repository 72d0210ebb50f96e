package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// subset limits how many targets of a service this entry uses if there are many. For each target,
// the entries are ranked by rendezvous hashing (Thaler and Ravishankar, 1998), and the first
// entriesPerTarget of them use it. Thus, each target is used by the same number of entries and none
// is left out. An entry that is added or removed moves only its own share of the targets.
type subset struct {
	self    string
	entries []string
	// entriesPerTarget is the number of entries that have each target in their subset. 0 means that
	// every subset contains all targets.
	entriesPerTarget int
}

// sharingEntries returns the number of entries that share each of this entry's targets, or 0 if the
// entries are unknown.
func (s *service) sharingEntries() int {
	if s.subset.entriesPerTarget > 0 {
		return s.subset.entriesPerTarget
	}
	return len(s.subset.entries)
}

func (s *service) setEntries(self string, peers []string) {
	s.subset.self = self
	s.subset.entries = peers
	s.recomputeSubset()
	s.limit.setBounds(s.slots(), s.sharingEntries())
}

// entriesPerTargetFor returns entriesPerTarget for a number of targets. It is a power of two, so
// that it rarely changes while a service grows.
func (s *service) entriesPerTargetFor(targets int) int {
	entries := len(s.subset.entries)
	if targets <= s.cfg.SubsetMin || entries <= s.cfg.SubsetCover {
		return 0
	}
	required := max(s.cfg.SubsetCover, (s.cfg.SubsetMin*entries+targets-1)/targets)
	n := 1
	for n < required {
		n *= 2
	}
	if n >= entries {
		return 0
	}
	return n
}

// updateSubset determines whether a target belongs to this entry's subset.
func (s *service) updateSubset(t *target) {
	if s.entriesPerTargetFor(len(s.targets)) != s.subset.entriesPerTarget {
		s.recomputeSubset()
		return
	}
	t.inSubset = s.subset.contains(t.ID)
}

// recomputeSubset determines for all targets whether they belong to the subset.
func (s *service) recomputeSubset() {
	s.subset.entriesPerTarget = s.entriesPerTargetFor(len(s.targets))
	for _, id := range sortedKeys(s.targets) {
		t := s.targets[id]
		t.inSubset = s.subset.contains(id)
		s.updateEligibility(t)
	}
}

func (u *subset) contains(id string) bool {
	if u.entriesPerTarget == 0 || !slices.Contains(u.entries, u.self) {
		return true
	}
	ownRank := rendezvous(u.self, id)
	ahead := 0
	for _, p := range u.entries {
		if p != u.self && rendezvous(p, id) > ownRank {
			ahead++
		}
	}
	return ahead < u.entriesPerTarget
}

func rendezvous(entry, target string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(entry)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(target)
	return d.Sum64()
}

// sortedKeys returns the sorted keys of m. With them the order of the targets in the tiers, and
// therefore a run, does not depend on the order of the map.
func sortedKeys(m map[string]*target) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
