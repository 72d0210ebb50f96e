package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a case: what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	out   *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: f, began: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.out, line)
	fmt.Println(line)
}

func (r *record) close() { _ = r.out.Close() }
