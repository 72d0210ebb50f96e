package soak

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// fault is one entry of the fault log: an action on a process, disk or link, the end of a process, or a
// stall of the machine.
type fault struct {
	AtMicros int64  `json:"at_us"`
	Process  string `json:"process"`
	What     string `json:"what"`
	PID      int    `json:"pid"`
}

func (f fault) at() time.Time { return time.UnixMicro(f.AtMicros) }

// faultsFile is the name of the file with all faults of a soak run, one per line.
const faultsFile = "faults.jsonl"

// faultLog writes the faults of a soak run to a file.
type faultLog struct {
	mu   sync.Mutex
	file *os.File
}

func newFaultLog(path string) (*faultLog, error) {
	f, err := os.Create(path)
	return &faultLog{file: f}, errors.Wrap(err, "fault log")
}

func (l *faultLog) add(process, what string, pid int) {
	f := fault{AtMicros: time.Now().UnixMicro(), Process: process, What: what, PID: pid}
	data, err := json.Marshal(f)
	if err != nil {
		panic(err) // a fault consists of numbers and strings, which always encode
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.file.Write(append(data, '\n')); err != nil {
		panic(err) // without a complete fault log the checker's findings would be wrong
	}
}
