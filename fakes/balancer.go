package fakes

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	probeInterval = 50 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// EntryAddress is where callers reach an entry and, when it is probed, the URL
// that says whether it is ready.
type EntryAddress struct {
	Address  string
	ReadyURL string
}

// Balancer stands in for the platform's balancer: it spreads requests over the
// entries that say they are ready.
type Balancer struct {
	entries []EntryAddress
	next    atomic.Uint64

	mu    sync.Mutex
	ready []string
}

// NewBalancer returns a balancer that takes every entry for ready.
func NewBalancer(entries []EntryAddress) *Balancer {
	b := &Balancer{entries: entries}
	for _, e := range entries {
		b.ready = append(b.ready, e.Address)
	}
	return b
}

// Pick returns the next entry in turn.
func (b *Balancer) Pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready[b.next.Add(1)%uint64(len(b.ready))]
}

// Probe keeps the list of ready entries until ctx ends. While none is ready it
// keeps the last list, as balancers do.
func (b *Balancer) Probe(ctx context.Context) {
	client := &http.Client{Timeout: probeTimeout}
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		b.set(b.probeAll(ctx, client))
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

func (b *Balancer) probeAll(ctx context.Context, client *http.Client) []string {
	up := make([]bool, len(b.entries))
	var wg conc.WaitGroup
	for i, e := range b.entries {
		wg.Go(func() { up[i] = e.ReadyURL == "" || probe(ctx, client, e.ReadyURL) })
	}
	wg.Wait()
	var ready []string
	for i, e := range b.entries {
		if up[i] {
			ready = append(ready, e.Address)
		}
	}
	return ready
}

func (b *Balancer) set(ready []string) {
	if len(ready) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func probe(ctx context.Context, client *http.Client, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
