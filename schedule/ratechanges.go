package schedule

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// maxRateChanges bounds the changes that are reported of one search for common causes. The others
// follow after the next search if they still hold.
const maxRateChanges = 8

// RateChange is a change of what the planner believes of a worker, an availability zone or a label,
// with what the belief is based on.
type RateChange struct {
	Subject string
	// Slow is set if the subject deviates from the usual rate now, and not if it is back.
	Slow                       bool
	Rate, Uncertainty, Samples float64
	// Workers is the number of rated workers of the subject.
	Workers int
}

// RateChanges returns the changes since the last call.
func (p *Planner) RateChanges() []RateChange {
	if p.rates == nil {
		return nil
	}
	changes := p.rates.changes
	p.rates.changes = nil
	return changes
}

// recordChanges records what changed since the last search, common causes first.
func (t *rateTable) recordChanges(zones, labels map[rateGroup][]float64) {
	room := maxRateChanges - len(t.changes)
	groups := slices.Collect(maps.Keys(t.shifts))
	for group := range t.told {
		if _, holds := t.shifts[group]; !holds {
			groups = append(groups, group)
		}
	}
	slices.SortFunc(groups, func(a, b rateGroup) int { return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.label, b.label)) })
	for _, group := range groups {
		shift, holds := t.shifts[group]
		if holds == t.told[group] || room <= 0 {
			continue
		}
		room--
		members, subject := zones[group], "zone "+group.zone
		if group.label != "" {
			members, subject = labels[group], "label "+group.label
		}
		if holds {
			t.told[group] = true
		} else {
			delete(t.told, group)
		}
		t.changes = append(t.changes, RateChange{Subject: subject, Slow: holds, Rate: math.Exp(shift), Workers: len(members)})
	}
	for _, id := range slices.Sorted(maps.Keys(t.byWorker)) {
		e := t.byWorker[id]
		if e.view.Doubtful == e.toldDoubtful || room <= 0 {
			continue
		}
		room--
		e.toldDoubtful = e.view.Doubtful
		t.changes = append(t.changes, RateChange{
			Subject: "worker " + id, Slow: e.view.Doubtful, Rate: e.view.Rate, Uncertainty: e.view.Uncertainty, Samples: e.view.Samples, Workers: 1,
		})
	}
}
