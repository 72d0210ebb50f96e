package crashloop

import "time"

const (
	// simultaneityTolerance is the largest difference between the exactly observed times of crashes
	// with a common cause.
	simultaneityTolerance = 50 * time.Millisecond
	// MinCommonCauseHosts is the number of hosts whose workers crash at the same moment from which on
	// a common cause is assumed.
	MinCommonCauseHosts = 3
)

// Moment is an estimate of when a worker crashed.
type Moment struct {
	At time.Time
	// Uncertainty is the largest error of the estimate.
	Uncertainty time.Duration
}

// Simultaneous reports whether two crashes may have occurred at the same moment.
func Simultaneous(a, b Moment) bool {
	return a.At.Sub(b.At).Abs() <= a.Uncertainty+b.Uncertainty+simultaneityTolerance
}

// HaveCommonCause reports whether workers that crashed at the same moment did so for another reason
// than a step that ran on some of them. unrelated is the number of the hosts without a run of the step
// and without another task that explains the crash. suspect reports whether the step crashes workers
// at its start or has crashed others after a similar runtime: if it ran on all of the hosts, that may
// be the reason for all of the crashes.
func HaveCommonCause(hosts, unrelated int, suspect bool) bool {
	return hosts >= MinCommonCauseHosts && (unrelated > 0 || !suspect)
}
