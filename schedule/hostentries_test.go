package schedule

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// Guards against a host that is ordered away while tasks run there, or an order that is never given, since an
// entry of another program names another worker or pool for it.
func TestForeignEntriesOfAHostAreSetAside(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w1", 1000, 1000)
	r.addWorker("w2", 1000, 1000)
	own := HostView{Worker: "w1", Pool: testPool, Up: true, Capacity: jobqueue.Resources{CPUMilli: 1000}}
	arrived := HostView{Worker: "not known yet", Pool: testPool, Up: true}
	with := func(change func(*HostView)) HostView {
		v := own
		change(&v)
		return v
	}
	foreignPool := with(func(v *HostView) { v.Pool, v.Worker = "zk91x", "w0" })
	for name, c := range map[string]struct {
		entries           []HostView
		want              HostView
		setAside, clashes int
	}{
		"alone":                        {[]HostView{own}, own, 0, 0},
		"alone, of an unknown pool":    {[]HostView{foreignPool}, foreignPool, 0, 0},
		"repeated":                     {[]HostView{own, own, own}, own, 0, 0},
		"unreadable":                   {[]HostView{{}, own}, own, 0, 0},
		"unknown pool":                 {[]HostView{own, foreignPool}, own, 1, 0},
		"unknown pool and an old id":   {[]HostView{own, foreignPool, with(func(v *HostView) { v.Worker = "w0" })}, own, 2, 0},
		"unknown pool, same worker":    {[]HostView{own, with(func(v *HostView) { v.Pool = "zk91x" })}, own, 1, 0},
		"old id":                       {[]HostView{own, with(func(v *HostView) { v.Worker = "w0" })}, own, 1, 0},
		"old id, down":                 {[]HostView{own, with(func(v *HostView) { v.Worker, v.Up, v.Down = "w0", false, true })}, own, 1, 0},
		"unknown pool, worker unknown": {[]HostView{arrived, foreignPool}, arrived, 1, 0},
		"worker of another host":       {[]HostView{own, with(func(v *HostView) { v.Worker = "w2" })}, HostView{}, 1, 1},
		"no worker is known":           {[]HostView{arrived, with(func(v *HostView) { v.Worker = "w0" })}, HostView{}, 1, 1},
	} {
		for _, backwards := range []bool{false, true} {
			hosts := map[string]HostView{"other": own}
			entries := slices.Clone(c.entries)
			if backwards {
				slices.Reverse(entries)
			}
			for _, e := range entries {
				AddEntry(hosts, "h1", e)
			}
			setAside, clashes := SettleEntries(r.machine, hosts)
			if setAside != c.setAside || clashes != c.clashes || fmt.Sprint(hosts["h1"]) != fmt.Sprint(c.want) || fmt.Sprint(hosts["other"]) != fmt.Sprint(own) {
				t.Errorf("%s, backwards %v: %v, %d set aside, %d clash", name, backwards, hosts, setAside, clashes)
			}
		}
	}
}
