package soak

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// fault is something that was done to a process, or its end.
type fault struct {
	AtMicros int64  `json:"at_us"`
	Process  string `json:"process"`
	What     string `json:"what"`
	PID      int    `json:"pid"`
}

func (f fault) at() time.Time { return time.UnixMicro(f.AtMicros) }

// faultLog is the record of all faults of a play.
type faultLog struct {
	mu   sync.Mutex
	list []fault
	file *os.File
}

func newFaultLog(path string) (*faultLog, error) {
	f, err := os.Create(path)
	return &faultLog{file: f}, errors.Wrap(err, "record of faults")
}

func (l *faultLog) note(process, what string, pid int) {
	f := fault{AtMicros: time.Now().UnixMicro(), Process: process, What: what, PID: pid}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, f)
	data, err := json.Marshal(f)
	if err != nil {
		panic(err) // a fault is made of numbers and strings
	}
	_, _ = l.file.Write(append(data, '\n')) // the copy in memory is what is judged
}

func (l *faultLog) all() []fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]fault(nil), l.list...)
}
