package highest

import (
	"sync"
	"testing"
)

// Guards against a lower number that overwrites a higher one when goroutines record at the
// same time.
func TestConcurrentRecords(t *testing.T) {
	var n Number
	var wg sync.WaitGroup
	for first := range uint64(8) {
		wg.Go(func() {
			for i := uint64(0); i < 1000; i++ {
				n.Record(first + 8*i)
			}
			n.Record(first)
		})
	}
	wg.Wait()
	if n.Load() != 7999 {
		t.Errorf("highest number is %d, want 7999", n.Load())
	}
}
