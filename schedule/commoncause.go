package schedule

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// commonCause returns the part of a worker's rate that it has in common with its availability zone
// or the workers of one of its labels.
func (t *rateTable) commonCause(w *jobqueue.Worker) (float64, string) {
	if shift, found := t.shifts[rateGroup{zone: w.Spec.AvailabilityZone}]; found {
		return shift, "zone " + w.Spec.AvailabilityZone
	}
	for _, label := range w.Spec.Labels {
		if shift, found := t.shifts[rateGroup{label: label}]; found {
			return shift, "label " + label
		}
	}
	return 0, ""
}

// findCommonCauses looks for availability zones and labels of which most workers are slow or fast
// alike, and prunes departed workers and unused images.
func (t *rateTable) findCommonCauses(m *jobqueue.Machine, now time.Time) {
	if t == nil || now.Sub(t.groupedAt) < groupInterval {
		return
	}
	t.groupedAt = now
	maps.DeleteFunc(t.byWorker, func(id string, e *workerRate) bool { return m.Worker(id) != e.worker })
	maps.DeleteFunc(t.byImage, func(_ string, i *imageRate) bool { return now.Sub(i.updatedAt) > imageRetention })
	clear(t.shifts)
	zones, labels := map[rateGroup][]float64{}, map[rateGroup][]float64{}
	rated := 0
	for _, e := range t.byWorker {
		if e.weight < minRatedSamples {
			continue
		}
		rated++
		zone := rateGroup{zone: e.worker.Spec.AvailabilityZone}
		zones[zone] = append(zones[zone], e.mean)
	}
	t.addShifts(zones, rated)
	for _, e := range t.byWorker {
		if _, explained := t.shifts[rateGroup{zone: e.worker.Spec.AvailabilityZone}]; explained || e.weight < minRatedSamples {
			continue
		}
		for _, label := range e.worker.Spec.Labels {
			labels[rateGroup{label: label}] = append(labels[rateGroup{label: label}], e.mean)
		}
	}
	t.addShifts(labels, rated)
	for _, e := range t.byWorker {
		e.updateView(t)
	}
	t.recordChanges(zones, labels)
}

// decay lets the estimates of workers that get no tasks return to the usual rate, a few workers at
// a time.
func (t *rateTable) decay(workers []*slot, now time.Time) {
	if t == nil {
		return
	}
	for range min(decaysPerRound, len(workers)) {
		t.nextDecay = (t.nextDecay + 1) % len(workers)
		e := t.byWorker[workers[t.nextDecay].worker.Spec.Id]
		if e != nil && len(e.samples) > 0 && now.Sub(e.samples[len(e.samples)-1].at) >= groupInterval {
			e.estimate(t, now)
		}
	}
}

// addShifts adds the groups with a common cause. A group with all rated workers has none: what all
// have in common is what is usual.
func (t *rateTable) addShifts(groups map[rateGroup][]float64, rated int) {
	for group, means := range groups {
		if len(means) < minGroupWorkers || len(means) == rated {
			continue
		}
		middle := median(means)
		same := 0
		for _, m := range means {
			if m*middle > 0 && math.Abs(m) >= minGroupShift {
				same++
			}
		}
		if math.Abs(middle) >= minGroupShift && float64(same) >= groupMajority*float64(len(means)) {
			t.shifts[group] = middle
		}
	}
}

// Rates returns the observed rates of all workers by ID, nil if the planner does not rate workers.
func (p *Planner) Rates(m *jobqueue.Machine) []WorkerRate {
	if p.rates == nil {
		return nil
	}
	var list []WorkerRate
	for _, w := range m.Workers() {
		list = append(list, p.rates.rateOf(w))
	}
	slices.SortFunc(list, func(a, b WorkerRate) int { return cmp.Compare(a.Worker, b.Worker) })
	return list
}
