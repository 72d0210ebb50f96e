package admission

import (
	"container/list"
	"math/rand/v2"
	"time"
)

const (
	// maxAccounts bounds the accounts with a state of their own. A deployment has 390; names beyond
	// the bound share one account until one of the others has been idle for accountRetention.
	maxAccounts      = 1024
	accountRetention = 30 * time.Second
	// maxReturns bounds the callers of an account whose times to return are kept.
	maxReturns = 256
	// maxRetryAfter bounds the time until a refused caller may return.
	maxRetryAfter = 20 * time.Second
	// defaultReturnInterval is the time between two returns of an account while the fleet's rate is
	// unknown.
	defaultReturnInterval = 100 * time.Millisecond
)

// overflowAccount is the name of the account that the names beyond maxAccounts share. It is not a
// valid name of an account.
const overflowAccount = "*"

// account is what is kept of the refused callers of a client account.
type account struct {
	name    string
	refused uint64
	// returns are the callers that were told a time to return which has not come yet, in the order of
	// these times.
	returns *list.List // of *callerReturn
	byJob   map[string]*list.Element
	// lastReturn is the last time that was told.
	lastReturn time.Time
	usedAt     time.Time
	// queues are the states of its waiting jobs by priority.
	queues map[uint32]queueState
}

// callerReturn is when a refused caller was told to return with its job.
type callerReturn struct {
	job  string
	at   time.Time
	work Work
}

// toldTime returns the time at which the caller of a job was told to return; early is false if there is
// none or it has come.
func (a *account) toldTime(job string, now time.Time) (at time.Time, early bool) {
	a.expire(now)
	if e := a.byJob[job]; e != nil {
		return e.Value.(*callerReturn).at, true
	}
	return time.Time{}, false
}

// expire drops the returns whose time has come.
func (a *account) expire(now time.Time) {
	for e := a.returns.Front(); e != nil && !e.Value.(*callerReturn).at.After(now); e = a.returns.Front() {
		a.drop(e)
	}
}

func (a *account) drop(e *list.Element) {
	delete(a.byJob, e.Value.(*callerReturn).job)
	a.returns.Remove(e)
}

func (a *account) forget(job string) {
	if e := a.byJob[job]; e != nil {
		a.drop(e)
	}
}

// workBefore returns the work of the callers that were told an earlier time to return than the caller of
// a job.
func (a *account) workBefore(job string) Work {
	var w Work
	for e := a.returns.Front(); e != nil && e.Value.(*callerReturn).job != job; e = e.Next() {
		w = w.plus(e.Value.(*callerReturn).work)
	}
	return w
}

// assign gives a job the next time to return of the account, at the given time at the earliest.
func (a *account) assign(r Request, earliest time.Time, interval time.Duration) time.Time {
	at := earliest
	if next := a.lastReturn.Add(interval); next.After(at) {
		at = next
	}
	a.lastReturn = at
	a.keep(r, at)
	return at
}

// keep adds a caller to those that are to return, in the order of their times.
func (a *account) keep(r Request, at time.Time) {
	if a.returns.Len() >= maxReturns {
		return
	}
	entry := &callerReturn{job: r.Job, at: at, work: r.Work}
	before := a.returns.Back()
	for before != nil && before.Value.(*callerReturn).at.After(at) {
		before = before.Prev()
	}
	if before == nil {
		a.byJob[r.Job] = a.returns.PushFront(entry)
		return
	}
	a.byJob[r.Job] = a.returns.InsertAfter(entry, before)
}

// accountTable holds the accounts, the least recently used one first.
type accountTable struct {
	byName map[string]*list.Element
	order  *list.List
	// waiting is the number of accounts with callers that are to return, as of the last count.
	waiting   int
	countedAt time.Time
}

func newAccountTable() *accountTable {
	return &accountTable{byName: map[string]*list.Element{}, order: list.New()}
}

func (t *accountTable) get(name string, now time.Time) *account {
	e := t.byName[name]
	if e == nil && len(t.byName) >= maxAccounts && name != overflowAccount {
		oldest := t.order.Front()
		if now.Sub(oldest.Value.(*account).usedAt) < accountRetention {
			return t.get(overflowAccount, now)
		}
		delete(t.byName, oldest.Value.(*account).name)
		t.order.Remove(oldest)
	}
	if e == nil {
		e = t.order.PushBack(&account{name: name, returns: list.New(), byJob: map[string]*list.Element{}, queues: map[uint32]queueState{}})
		t.byName[name] = e
	}
	t.order.MoveToBack(e)
	a := e.Value.(*account)
	a.usedAt = now
	return a
}

// assignReturn returns when the caller of a refused job should return: once the queue is short enough,
// and after the callers of its account that were refused before. The returns of an account follow each
// other at its part of the fleet's rate, and are spread, so that the callers refused in one burst do
// not return as the next one.
func (t *accountTable) assignReturn(a *account, r Request, lack time.Duration, drain Work, random *rand.Rand, now time.Time) time.Duration {
	interval := defaultReturnInterval
	if drain.CoreMs > 0 || drain.BackfillMs > 0 {
		interval = 0
		if r.Work.CoreMs > 0 {
			interval = timeFor(r.Work.CoreMs, drain.CoreMs)
		}
		if r.Work.BackfillMs > 0 {
			interval = max(interval, timeFor(r.Work.BackfillMs, drain.BackfillMs))
		}
		interval = min(interval*time.Duration(t.waitingAccounts(now)), maxRetryAfter/4)
	}
	interval = scale(interval, 0.5+random.Float64())
	earliest := now.Add(max(minRetryAfter, lack))
	if latest := now.Add(maxRetryAfter); earliest.After(latest) || a.lastReturn.Add(interval).After(latest) {
		// There is no place within the bound. The times are spread over its second half.
		after := maxRetryAfter/2 + time.Duration(random.Int64N(int64(maxRetryAfter/2)))
		a.keep(r, now.Add(after))
		return after
	}
	return a.assign(r, earliest, interval).Sub(now)
}

// countInterval is the time between two counts of the accounts with callers that are to return.
const countInterval = 250 * time.Millisecond

// waitingAccounts returns the number of accounts with callers that are to return, at least 1.
func (t *accountTable) waitingAccounts(now time.Time) int {
	if t.countedAt.IsZero() || now.Sub(t.countedAt) >= countInterval {
		t.waiting, t.countedAt = 0, now
		for e := t.order.Front(); e != nil; e = e.Next() {
			a := e.Value.(*account)
			a.expire(now)
			if a.returns.Len() > 0 {
				t.waiting++
			}
		}
	}
	return max(1, t.waiting)
}

func (t *accountTable) read(name string, now time.Time) (refused uint64, nextReturn time.Duration) {
	e := t.byName[name]
	if e == nil {
		return 0, 0
	}
	a := e.Value.(*account)
	a.expire(now)
	if first := a.returns.Front(); first != nil {
		nextReturn = first.Value.(*callerReturn).at.Sub(now)
	}
	return a.refused, nextReturn
}
