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
	r := newMoverHarness(t)
	r.addWorker("w1", 1000, 1000)
	r.addWorker("w2", 1000, 1000)
	own := HostView{Worker: "w1", Pool: testPool, Up: true, Capacity: jobqueue.Resources{CPUMilli: 1000}}
	other := HostView{Worker: "w3", Pool: testPool, Up: true}
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
		"known worker of another pool": {[]HostView{arrived, with(func(v *HostView) { v.Pool = batchPool })}, HostView{}, 1, 1},
		"no worker is known":           {[]HostView{arrived, with(func(v *HostView) { v.Worker = "w0" })}, HostView{}, 1, 1},
	} {
		for _, backwards := range []bool{false, true} {
			hosts := map[string]HostView{"other": other}
			entries := slices.Clone(c.entries)
			if backwards {
				slices.Reverse(entries)
			}
			for _, e := range entries {
				AddEntry(hosts, "h1", e)
			}
			setAside, clashes := SettleEntries(r.machine, hosts)
			if setAside != c.setAside || clashes != c.clashes || fmt.Sprint(hosts["h1"]) != fmt.Sprint(c.want) || fmt.Sprint(hosts["other"]) != fmt.Sprint(other) {
				t.Errorf("%s, backwards %v: %v, %d set aside, %d clash", name, backwards, hosts, setAside, clashes)
			}
		}
	}
}

// Guards against a worker that gets no more work and is ordered away, since an entry of another program names it
// for another host, which need not exist.
func TestWorkerIsOnOneHost(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w1", 1000, 1000)
	r.addWorker("w2", 1000, 1000)
	own := HostView{Worker: "w1", Pool: testPool, Up: true}
	contradicted := []HostView{own, {Worker: "w2", Pool: testPool, Up: true}}
	for name, c := range map[string]struct {
		entries, foreign []HostView
		want             HostView
		setAside, clash  int
	}{
		"unknown pool":                       {[]HostView{own}, []HostView{{Worker: "w1", Pool: "zk91x", Up: true}}, own, 1, 1},
		"known pool":                         {[]HostView{own}, []HostView{own}, HostView{}, 2, 2},
		"two entries of an unknown pool":     {[]HostView{own}, []HostView{{Worker: "w1", Pool: "zk91x", Up: true}, {Worker: "w0", Pool: "zk91x"}}, own, 1, 1},
		"beside a contradiction of the host": {contradicted, []HostView{{Worker: "w1", Pool: "zk91x", Up: true}}, HostView{}, 2, 2},
	} {
		hosts := map[string]HostView{}
		for _, e := range c.entries {
			AddEntry(hosts, "h1", e)
		}
		for _, e := range c.foreign {
			AddEntry(hosts, "h2", e)
		}
		setAside, clash := SettleEntries(r.machine, hosts)
		if setAside != c.setAside || clash != c.clash || fmt.Sprint(hosts["h1"]) != fmt.Sprint(c.want) || fmt.Sprint(hosts["h2"]) != fmt.Sprint(HostView{}) {
			t.Errorf("%s: %v, %d set aside, %d clash", name, hosts, setAside, clash)
		}
	}
}
