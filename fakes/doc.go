// Package fakes provides small stand-ins for the environment of the system: the
// platform's worker and host interface, targets, callers and network links. Workers,
// targets and callers record the events that they see, and Check verifies the records
// against the system's guarantees.
package fakes
