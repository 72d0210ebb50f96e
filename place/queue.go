package place

import (
	"cmp"
	"slices"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// queue hands out the queued tasks in the order in which they are placed:
// urgent before batch, with a floor for batch; starved batch before fair shares.
type queue struct {
	urgent, batch    []*Task
	urgentSinceBatch int
	batchFloor       int
}

func (r *round) newQueue() *queue {
	q := &queue{batchFloor: r.p.cfg.BatchFloor}
	for _, t := range r.snapshot.Queued {
		if t.Priority == apiv1.Priority_PRIORITY_URGENT {
			q.urgent = append(q.urgent, t)
			continue
		}
		q.batch = append(q.batch, t)
	}
	slices.SortFunc(q.urgent, oldestFirst)
	r.sortBatch(q)
	return q
}

func oldestFirst(a, b *Task) int {
	if c := a.QueuedAt.Compare(b.QueuedAt); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

// next returns the next task, nil at the end.
func (q *queue) next() *Task {
	due := q.urgentSinceBatch >= q.batchFloor-1 && len(q.batch) > 0
	if len(q.urgent) > 0 && !due {
		t := q.urgent[0]
		q.urgent = q.urgent[1:]
		return t
	}
	if len(q.batch) == 0 {
		return nil
	}
	t := q.batch[0]
	q.batch = q.batch[1:]
	return t
}

// recordGrant tells the queue what was placed, for the batch floor.
func (q *queue) recordGrant(t *Task) {
	if t.Priority == apiv1.Priority_PRIORITY_URGENT {
		q.urgentSinceBatch++
		return
	}
	q.urgentSinceBatch = 0
}

// sortBatch puts starved tasks first, oldest first, and the others in the order
// of weighted fair shares: each team's next task counts as if those of the same
// team before it were placed already.
func (r *round) sortBatch(q *queue) {
	slices.SortFunc(q.batch, oldestFirst)
	starved := 0
	for starved < len(q.batch) && r.starved(q.batch[starved]) {
		starved++
	}
	fair := q.batch[starved:]
	shares := make(map[string]Resources, len(r.teamUsage))
	keys := make(map[*Task]float64, len(fair))
	for _, t := range fair {
		held, ok := shares[t.Team]
		if !ok {
			held = r.teamUsage[t.Team]
		}
		if sum, fits := held.Add(t.Size); fits {
			held = sum
		}
		shares[t.Team] = held
		keys[t] = held.dominantShare(r.total) / float64(r.weight(t.Team))
	}
	slices.SortStableFunc(fair, func(a, b *Task) int { return cmp.Compare(keys[a], keys[b]) })
}

func (r *round) starved(t *Task) bool { return r.now.Sub(t.QueuedAt) >= r.p.cfg.StarveAfter }

func (r *round) weight(team string) int32 {
	if t := r.snapshot.Teams[team]; t != nil && t.Weight > 0 {
		return t.Weight
	}
	return 1
}
