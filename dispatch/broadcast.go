package dispatch

import "sync"

// broadcast wakes all goroutines that wait for a change.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

func newBroadcast() broadcast { return broadcast{ch: make(chan struct{})} }

// wait returns a channel that is closed at the next notify.
func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ch
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.ch)
	b.ch = make(chan struct{})
}
