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
// log knows and that has not departed before others. Where that leaves several, the host counts as listed and
// not usable. Entries name workers as the log does.
func SettleEntries(m *jobqueue.Machine, hosts map[string]HostView) (entries, conflicts int) {
	for name, view := range hosts {
		if len(view.Others) == 0 {
			continue
		}
		candidates := append(view.Others, view.withoutOthers())
		entries += len(view.Others)
		candidates = preferred(candidates, func(v HostView) bool { return m.Pool(v.Pool) != nil })
		candidates = preferred(candidates, func(v HostView) bool { return m.Worker(v.Worker) != nil })
		settled := candidates[0]
		if len(candidates) > 1 {
			settled = HostView{}
			conflicts++
		}
		hosts[name] = settled
	}
	return entries, conflicts
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

func (v HostView) withoutOthers() HostView {
	v.Others = nil
	return v
}

// sameAs reports whether two entries of a host have the same content.
func (v HostView) sameAs(other HostView) bool {
	return v.Worker == other.Worker && v.Pool == other.Pool && v.AvailabilityZone == other.AvailabilityZone &&
		v.Up == other.Up && v.Down == other.Down && v.Capacity == other.Capacity && slices.Equal(v.Labels, other.Labels)
}
