package account

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

// maxCounted bounds the accounts with metrics of their own. It is above the 390 accounts that a
// deployment is designed for.
const maxCounted = 512

// Counters counts events by account and kind, as PREFIX.ACCOUNT.KIND. At most maxCounted accounts have
// counters of their own; the least recently used ones are counted under Other. It is safe for concurrent
// use.
type Counters struct {
	registry metrics.Registry
	prefix   string

	mu    sync.Mutex
	table *Table[map[string]metrics.Counter]
}

// NewCounters returns counters that are registered as they are first used. The kinds of events must be
// few: each adds a series per account.
func NewCounters(prefix string, r metrics.Registry) *Counters {
	c := &Counters{registry: r, prefix: prefix}
	c.table = NewTable(maxCounted, c.merge)
	return c
}

// Count counts an event of an account. Events without an account are not counted.
func (c *Counters) Count(account, kind string) {
	if account == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counter(account, c.table.Use(account), kind).Inc(1)
}

func (c *Counters) counter(account string, byKind *map[string]metrics.Counter, kind string) metrics.Counter {
	if *byKind == nil {
		*byKind = map[string]metrics.Counter{}
	}
	if (*byKind)[kind] == nil {
		(*byKind)[kind] = metrics.GetOrRegisterCounter(c.name(account, kind), c.registry)
	}
	return (*byKind)[kind]
}

func (c *Counters) name(account, kind string) string { return c.prefix + "." + account + "." + kind }

// merge adds the counters of an account to those of Other and removes them.
func (c *Counters) merge(account string, byKind, other *map[string]metrics.Counter) {
	for kind, counter := range *byKind {
		c.counter(Other, other, kind).Inc(counter.Count())
		c.registry.Unregister(c.name(account, kind))
	}
}
