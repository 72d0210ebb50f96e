package admission

// Waiting is the waiting work by priority and account. The zero value is empty.
type Waiting struct {
	byPriority map[uint32]map[string]Work
	totals     map[uint32]Work
}

// Add adds waiting work.
func (q *Waiting) Add(priority uint32, account string, w Work) {
	if q.byPriority == nil {
		q.byPriority, q.totals = map[uint32]map[string]Work{}, map[uint32]Work{}
	}
	accounts := q.byPriority[priority]
	if accounts == nil {
		accounts = map[string]Work{}
		q.byPriority[priority] = accounts
	}
	accounts[account] = accounts[account].plus(w)
	q.totals[priority] = q.totals[priority].plus(w)
}

// Total returns the waiting work of all accounts and priorities.
func (q *Waiting) Total() Work {
	var total Work
	for _, w := range q.totals {
		total = total.plus(w)
	}
	return total
}

// Ahead returns the work that goes before a job. All work of higher priorities, which have smaller
// numbers, does. Within the priority the fleet is shared between the accounts by weight, so that of
// each other account only as much work goes before the job as its weight allows until the job's own
// account has come to the job's end.
func (q *Waiting) Ahead(r Request, weight func(account string) float64) Work {
	var ahead Work
	for priority, total := range q.totals {
		if priority < r.Priority {
			ahead = ahead.plus(total)
		}
	}
	accounts := q.byPriority[r.Priority]
	before := accounts[r.Account]
	ahead = ahead.plus(before)
	if len(accounts) == 0 || len(accounts) == 1 && before != (Work{}) {
		return ahead
	}
	own := weight(r.Account)
	until := before.plus(r.Work)
	for name, w := range accounts {
		if name == r.Account {
			continue
		}
		ratio := weight(name) / own
		before := min(w.CoreMs, int64(ratio*float64(until.CoreMs)))
		ahead.CoreMs += before
		if w.CoreMs > 0 {
			ahead.Slots += int64(float64(w.Slots) * float64(before) / float64(w.CoreMs))
		}
		ahead.BackfillMs += min(w.BackfillMs, int64(ratio*float64(until.BackfillMs)))
	}
	return ahead
}

func (w Work) plus(o Work) Work {
	return Work{CoreMs: w.CoreMs + o.CoreMs, Slots: w.Slots + o.Slots, BackfillMs: w.BackfillMs + o.BackfillMs}
}
