// Package soak runs cairnlift's roles on the users' platform as real processes, kills and pauses some
// of them, and checks from the workers' records whether long-running tasks were restarted in time. All
// random choices come from a seed; the timing of the processes does not, so a soak run is not
// reproducible in full.
package soak
