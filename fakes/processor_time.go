package fakes

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// clockTick is the unit of processor time in /proc/PID/stat on Linux (USER_HZ = 100).
	clockTick = 10 * time.Millisecond
	// fieldUser and fieldSystem are the positions of user and system time, counted from
	// the field after the program's name.
	fieldUser   = 11
	fieldSystem = 12
)

// processorTime returns the user and system time that a process has used.
func processorTime(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "processor time")
	}
	// The program's name may contain blanks and parentheses; it ends at the last one.
	fields := bytes.Fields(b[bytes.LastIndexByte(b, ')')+1:])
	if len(fields) <= fieldSystem {
		return 0, errors.Newf("processor time: too few fields in the stat line of process %d", pid)
	}
	user, err := strconv.ParseInt(string(fields[fieldUser]), 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "processor time")
	}
	system, err := strconv.ParseInt(string(fields[fieldSystem]), 10, 64)
	return time.Duration(user+system) * clockTick, errors.Wrap(err, "processor time")
}
