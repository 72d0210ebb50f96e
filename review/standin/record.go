package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

// add adds a line with the time since the beginning, in seconds.
func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
	if _, err := r.file.WriteString(line); err != nil {
		panic(err) // a case without its record shows nothing
	}
}
