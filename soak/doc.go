// Package soak plays cairnlift's roles on the users' platform as real processes, kills and
// pauses some of them, and judges from the workers' records whether the tasks that last came
// back in time. Whatever is drawn comes from a seed; what the processes make of it does not.
package soak
