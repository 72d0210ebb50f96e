package gate

import (
	"time"
)

// tombstones remembers attempts that were revoked before their dispatch arrived.
// Only a hash is kept: two attempts with one hash make the gate refuse an innocent
// one, which is truthful.
type tombstones struct {
	limits Limits
	set    map[uint64]struct{}
	order  queue[tombstone]
}

type tombstone struct {
	hash      uint64
	expiresAt time.Time
}

func newTombstones(limits Limits) tombstones {
	return tombstones{limits: limits, set: make(map[uint64]struct{})}
}

// add reports false when there is no room: then the dispatch could still come and
// be run, and nobody may be told that it will not.
func (ts *tombstones) add(now time.Time, k Key) bool {
	ts.expire(now)
	h := k.hash()
	if _, ok := ts.set[h]; ok {
		return true
	}
	if len(ts.set) >= ts.limits.MaxTombstones {
		return false
	}
	ts.set[h] = struct{}{}
	ts.order.push(tombstone{hash: h, expiresAt: now.Add(ts.limits.TombstoneWindow)})
	return true
}

func (ts *tombstones) has(now time.Time, k Key) bool {
	if len(ts.set) == 0 {
		return false
	}
	ts.expire(now)
	_, ok := ts.set[k.hash()]
	return ok
}

func (ts *tombstones) expire(now time.Time) {
	for {
		oldest, ok := ts.order.peek()
		if !ok || now.Before(oldest.expiresAt) {
			return
		}
		delete(ts.set, ts.order.pop().hash)
	}
}
