package jobqueue

import (
	"strconv"
	"strings"
)

// Incarnation is one life of a worker. A worker that ended may start again under its id: it
// knows nothing of before, and its counters and its clock begin anew. So the id alone names
// no life; id and start do, and everything that is kept of a worker is kept by its
// incarnation's name (JobWorker.id).
//
// What goes wrong without the start: ends of the new life are acknowledged by the numbers
// that the old one had reached, and runs of the old one count as running for good. One
// notices it as tasks that run again after they ended well, and long-running ones that run
// nowhere.
type Incarnation struct {
	WorkerID string
	// StartedMs is when it started, by the worker's own clock of the day (Unix
	// milliseconds); 0 where that is not told. Then the id alone has to name the life.
	StartedMs int64
}

// startSeparator stands between id and start in a name.
const startSeparator = "@"

// Name returns the name of the incarnation: the id, and the start where it is known.
func (i Incarnation) Name() string {
	if i.StartedMs == 0 && !strings.Contains(i.WorkerID, startSeparator) {
		return i.WorkerID
	}
	return i.WorkerID + startSeparator + strconv.FormatInt(i.StartedMs, 10)
}

// ParseIncarnation reads a name. One without a start is that of an incarnation whose start
// is not known, as in all that was written before starts were told.
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

// Precedes reports whether i is an earlier life of the same worker. One whose start is not
// known precedes those whose start is.
func (i Incarnation) Precedes(other Incarnation) bool {
	return i.WorkerID == other.WorkerID && i.StartedMs < other.StartedMs
}

// NewestIncarnations returns the name of the newest incarnation that the log knows of each worker,
// by the worker's id. Who names workers by their ids alone is understood by it.
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

// NewestIncarnation returns the name of the newest incarnation that the log knows of a worker that
// is named by its id alone; a name with a start, and one that nothing is known of, stay as
// they are.
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

// olderThan reports whether another life of the same worker is the newer one. One that has not
// left is newer than all that have: the clock of the day that dates them may go back.
func (w *Worker) olderThan(other *Worker) bool {
	if w.Departed != other.Departed {
		return w.Departed
	}
	return ParseIncarnation(w.Spec.Id).Precedes(ParseIncarnation(other.Spec.Id))
}
