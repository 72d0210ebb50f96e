package jobqueue

import (
	"strconv"
	"strings"
)

// Incarnation identifies one incarnation of a worker. A worker that ended may start again under the
// same ID: it has no memory of its previous incarnation, and its counters and its clock start
// again. An incarnation is therefore identified by the ID together with the start time, and all
// state of a worker is stored under its incarnation's name (JobWorker.id).
//
// Without the start time, run ends of the new incarnation would be acknowledged up to the sequence
// number that the previous incarnation had reached, and runs of the previous one would count as
// running permanently: tasks would run again after they succeeded, and long-running tasks would run
// nowhere.
type Incarnation struct {
	WorkerID string
	// StartedMs is the start time by the worker's own wall clock (Unix milliseconds), or 0 if it
	// was not reported. In that case the ID alone identifies the incarnation.
	StartedMs int64
}

// startSeparator separates ID and start time in a name.
const startSeparator = "@"

// Name returns the name of the incarnation: the ID, followed by the start time if it is known.
func (i Incarnation) Name() string {
	if i.StartedMs == 0 && !strings.Contains(i.WorkerID, startSeparator) {
		return i.WorkerID
	}
	return i.WorkerID + startSeparator + strconv.FormatInt(i.StartedMs, 10)
}

// ParseIncarnation parses a name. A name without a start time belongs to an incarnation whose start
// time is unknown, as in all data written before workers reported start times.
func ParseIncarnation(name string) Incarnation {
	at := strings.LastIndex(name, startSeparator)
	if at < 0 {
		return Incarnation{WorkerID: name}
	}
	started, err := strconv.ParseInt(name[at+len(startSeparator):], 10, 64)
	if err != nil || started < 0 {
		return Incarnation{WorkerID: name}
	}
	return Incarnation{WorkerID: name[:at], StartedMs: started}
}

// Precedes reports whether i is a previous incarnation of the same worker. An incarnation with an
// unknown start time precedes all with a known one.
func (i Incarnation) Precedes(other Incarnation) bool {
	return i.WorkerID == other.WorkerID && i.StartedMs < other.StartedMs
}

// NewestIncarnations returns the name of the newest incarnation in the log of each worker, keyed by
// the worker's ID. It resolves references that identify workers by ID alone.
func (m *Machine) NewestIncarnations() map[string]string {
	newest := map[string]*Worker{}
	for _, w := range m.workers.values {
		id := ParseIncarnation(w.Spec.Id).WorkerID
		if known := newest[id]; known == nil || known.olderThan(w) {
			newest[id] = w
		}
	}
	names := make(map[string]string, len(newest))
	for id, w := range newest {
		names[id] = w.Spec.Id
	}
	return names
}

// NewestIncarnation returns the name of the newest incarnation in the log of a worker that is
// identified by its ID alone. Names with a start time, and names of unknown workers, are returned
// unchanged.
func (m *Machine) NewestIncarnation(name string) string {
	named := ParseIncarnation(name)
	if named.StartedMs != 0 {
		return name
	}
	var newest *Worker
	for _, w := range m.workers.values {
		if ParseIncarnation(w.Spec.Id).WorkerID == named.WorkerID && (newest == nil || newest.olderThan(w)) {
			newest = w
		}
	}
	if newest == nil {
		return name
	}
	return newest.Spec.Id
}

// olderThan reports whether other is a newer incarnation of the same worker. An incarnation that
// has not departed is newer than all departed ones, because the wall clock that provides the start
// times may go back.
func (w *Worker) olderThan(other *Worker) bool {
	if w.Departed != other.Departed {
		return w.Departed
	}
	return ParseIncarnation(w.Spec.Id).Precedes(ParseIncarnation(other.Spec.Id))
}
