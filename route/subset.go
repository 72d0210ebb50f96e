package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// subset bounds how many targets of a service this entry keeps when there are
// many. Entries are ranked for each target by rendezvous hashing (Thaler and
// Ravishankar, 1998), and the first cover entries keep it, so that each target
// is kept by the same number of entries and none is forgotten. An entry that
// comes or goes moves only its own share.
type subset struct {
	self    string
	entries []string
	// entriesPerTarget is the number of entries that keep each target; 0 keeps all targets.
	entriesPerTarget int
}

// sharingEntries is the number of entries that share this entry's targets, 0 when it was
// not told.
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

// entriesPerTargetFor returns the cover for a number of targets. It is a power of two, so
// that a growing service rarely changes it.
func (s *service) entriesPerTargetFor(targets int) int {
	entries := len(s.subset.entries)
	if targets <= s.cfg.SubsetMin || entries <= s.cfg.SubsetCover {
		return 0
	}
	need := max(s.cfg.SubsetCover, (s.cfg.SubsetMin*entries+targets-1)/targets)
	cover := 1
	for cover < need {
		cover *= 2
	}
	if cover >= entries {
		return 0
	}
	return cover
}

// updateSubset decides whether a target belongs to this entry's subset.
func (s *service) updateSubset(t *target) {
	if s.entriesPerTargetFor(len(s.targets)) != s.subset.entriesPerTarget {
		s.recomputeSubset()
		return
	}
	t.inSubset = s.subset.contains(t.ID)
}

// recomputeSubset decides anew for all targets.
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
	mine := rendezvous(u.self, id)
	ahead := 0
	for _, p := range u.entries {
		if p != u.self && rendezvous(p, id) > mine {
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

// sortedKeys keeps the order of the tiers, and so a run, independent of map order.
func sortedKeys(m map[string]*target) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
