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

// faultsFile is the file with all faults of a play, one a line.
const faultsFile = "faults.jsonl"

// faultLog writes down the faults of a play.
type faultLog struct {
	mu   sync.Mutex
	file *os.File
}

func newFaultLog(path string) (*faultLog, error) {
	f, err := os.Create(path)
	return &faultLog{file: f}, errors.Wrap(err, "record of faults")
}

func (l *faultLog) add(process, what string, pid int) {
	f := fault{AtMicros: time.Now().UnixMicro(), Process: process, What: what, PID: pid}
	data, err := json.Marshal(f)
	if err != nil {
		panic(err) // a fault is made of numbers and strings
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.file.Write(append(data, '\n')); err != nil {
		panic(err) // a play without its record proves nothing
	}
}
