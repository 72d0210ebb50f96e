package schedule

import (
	"slices"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// SettleEntries decides for each host that is listed more than once which of its entries holds, and returns how
// many entries of how many hosts it set aside: another program may have written them. What runs on a host is
// looked up by the worker that its entry names, so by a foreign entry the host would be ordered away while tasks
// run there.
//
// An entry of a pool of the configuration holds before one of an unknown pool, then one of a worker that the
// log has in the entry's pool and that has not departed before others. Where that leaves several, the host counts as listed and
// not usable. So does a host whose entry names a worker that entries of other hosts name too, unless only its
// own is of a pool of the configuration: an order about it would drain the worker of another host. Entries name
// workers as the log does.
func SettleEntries(m *jobqueue.Machine, hosts map[string]HostView) (entries, conflicts int) {
	claims := workerClaims{}
	for name, view := range hosts {
		for _, v := range view.entries() {
			claims.add(v.Worker, name, m.Pool(v.Pool) != nil)
		}
	}
	for name, view := range hosts {
		setAside := len(view.Others)
		candidates := preferred(view.entries(), func(v HostView) bool { return m.Pool(v.Pool) != nil })
		candidates = preferred(candidates, func(v HostView) bool {
			w := m.Worker(v.Worker)
			return w != nil && w.Spec.Pool == v.Pool
		})
		settled := candidates[0]
		if len(candidates) > 1 || !claims.hold(settled.Worker, name) {
			settled = HostView{}
			setAside = max(setAside, 1)
			conflicts++
		}
		entries += setAside
		hosts[name] = settled
	}
	return entries, conflicts
}

// workerClaims holds, by worker, the hosts whose entries name it, and whether one of these is of a pool of the
// configuration.
type workerClaims map[string]map[string]bool

func (c workerClaims) add(worker, host string, configured bool) {
	if worker == "" {
		return
	}
	if c[worker] == nil {
		c[worker] = map[string]bool{}
	}
	c[worker][host] = c[worker][host] || configured
}

// hold reports whether no other host's entry that names a worker weighs as much as a host's own.
func (c workerClaims) hold(worker, host string) bool {
	for other, configured := range c[worker] {
		if other != host && (configured || !c[worker][host]) {
			return false
		}
	}
	return true
}

// preferred returns the views that satisfy a condition, all of them if none does.
func preferred(views []HostView, condition func(HostView) bool) []HostView {
	satisfying := slices.DeleteFunc(slices.Clone(views), func(v HostView) bool { return !condition(v) })
	if len(satisfying) == 0 {
		return views
	}
	return satisfying
}

// AddEntry adds an entry of a host to a list. The zero view stands for one that can't be read: it keeps the host
// listed and not usable while there is no readable one. An entry that repeats another one is left out.
func AddEntry(hosts map[string]HostView, name string, entry HostView) {
	first, listed := hosts[name]
	switch {
	case !listed || first.isUnreadable():
		hosts[name] = entry
	case entry.isUnreadable():
	case first.sameAs(entry) || slices.ContainsFunc(first.Others, entry.sameAs):
	default:
		first.Others = append(first.Others, entry)
		hosts[name] = first
	}
}

// isUnreadable reports whether a host is listed by entries that can't be read only.
func (v HostView) isUnreadable() bool { return v.sameAs(HostView{}) }

// entries returns all entries of a host.
func (v HostView) entries() []HostView {
	all := slices.Clone(v.Others)
	v.Others = nil
	return append(all, v)
}

// sameAs reports whether two entries of a host have the same content.
func (v HostView) sameAs(other HostView) bool {
	return v.Worker == other.Worker && v.Pool == other.Pool && v.AvailabilityZone == other.AvailabilityZone &&
		v.Up == other.Up && v.Down == other.Down && v.Capacity == other.Capacity && slices.Equal(v.Labels, other.Labels)
}
