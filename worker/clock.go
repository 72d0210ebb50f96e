package worker

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now reads the host's boot clock: the time since the host started, including suspension. All
// processes of a host get the same reading.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists on every Linux since 2.6.39; without it no lease deadline could be
		// enforced.
		panic("worker: cannot read the boot clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
