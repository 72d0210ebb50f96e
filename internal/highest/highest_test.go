package highest

import (
	"sync"
	"testing"
)

func TestConcurrentRecords(t *testing.T) {
	var n Number
	var all sync.WaitGroup
	for first := range uint64(8) {
		all.Go(func() {
			for i := uint64(0); i < 1000; i++ {
				n.Record(first + 8*i)
			}
			n.Record(first)
		})
	}
	all.Wait()
	if n.Load() != 7999 {
		t.Errorf("the highest is %d", n.Load())
	}
}
