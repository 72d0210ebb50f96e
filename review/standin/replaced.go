package main

import (
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	catchUpTime = 4 * time.Second
	gracePeriod = 6 * time.Second
	// betweenStops is the time from the SIGTERM of one machine that is removed to that of the next.
	betweenStops = 8 * time.Second
	// lossDelay is the time from the last of them to the loss of another machine's disk.
	lossDelay = 10 * time.Second
)

// playReplaced plays the case of two machines of the core that are replaced as planned: the new ones have started more
// than the catch-up time before, the old ones are stopped one after the other, and later one further machine of the
// core loses its disk right after a configuration was acknowledged.
func playReplaced(d *deployment, trouble bool) int {
	c := &caller{record: d.record}
	var ips []string
	for _, m := range d.fronts() {
		ips = append(ips, m.ip)
	}
	if err := d.startAll(); err != nil {
		d.record.add("not started: %v", err)
		return exitNotRun
	}
	workers, err := d.startWorkers("worker")
	defer func() {
		for _, w := range workers {
			w.kill()
		}
	}()
	if err != nil || !c.put(ips, configuration(1), 20*time.Second) {
		d.record.add("the first configuration was not acknowledged: %v", err)
		return exitNotRun
	}
	d.bootstrap = false
	if err := d.writeSettings(); err != nil {
		return exitNotRun
	}
	accepted, sent := traffic(c, ips, 5*time.Second)
	before := len(accepted)
	d.record.add("before: %d of %d requests served", before, sent)
	if 4*before < sent {
		return exitNotRun
	}
	old, other := d.fronts()[:2], d.fronts()[2]
	if trouble {
		for i, m := range old {
			successor := &machine{name: m.name + "-new", ip: d.ip(21 + i), zone: m.zone, front: true, disk: true}
			d.add(successor)
			d.record.add("%s is started, with an empty disk; it is to replace %s", successor.name, m.name)
		}
		if err := d.startAll(); err != nil {
			return exitNotRun
		}
		time.Sleep(catchUpTime + 4*time.Second)
		for _, m := range old {
			d.stop(m)
			time.Sleep(betweenStops - gracePeriod)
		}
		ips = nil
		for _, m := range d.fronts() {
			ips = append(ips, m.ip)
		}
		time.Sleep(lossDelay - betweenStops)
		if !c.put(ips, configuration(2), 3*time.Second) {
			d.record.add("the second configuration was not acknowledged")
			return exitNotRun
		}
		d.record.add("%s loses its disk", other.name)
		for _, p := range other.roles {
			p.signal(syscall.SIGKILL)
		}
		for _, p := range other.roles {
			p.kill()
		}
		if err := os.RemoveAll(filepath.Join(d.folder, "disk-"+other.name)); err != nil {
			return exitNotRun
		}
		time.Sleep(downTime)
		if err := d.startAll(); err != nil {
			return exitNotRun
		}
		d.record.add("%s is started, with an empty disk", other.name)
	} else if !c.put(ips, configuration(2), 5*time.Second) {
		d.record.add("the second configuration was not acknowledged")
		return exitNotRun
	}
	time.Sleep(recoveryTime)
	later, sent := traffic(c, ips, 8*time.Second)
	d.record.add("after: %d of %d requests served", len(later), sent)
	time.Sleep(finishTime)
	lost := countUntold(c, ips, accepted)
	d.record.add("%d of %d jobs that were accepted before are told by no machine", lost, len(accepted))
	version := 0
	waitFor(3*time.Second, func() bool {
		for _, ip := range ips {
			version = max(version, c.version(ip))
		}
		return false
	})
	d.record.add("configuration read back: version %d, acknowledged was 2", version)
	d.events(workers)
	if ended := d.exits(); len(ended) > 0 {
		d.record.add("processes that ended by themselves: %v", ended)
		return exitNotRun
	}
	if version < 2 || lost > 0 {
		d.record.add("LOST is broken")
		return exitBroken
	}
	if 4*len(later) < sent {
		d.record.add("RECOVER is broken")
		return exitBroken
	}
	return exitHeld
}

// stop stops a machine that leaves for good, with SIGTERM and, after the grace period, SIGKILL.
func (d *deployment) stop(gone *machine) {
	d.record.add("%s gets SIGTERM and leaves", gone.name)
	end := time.Now().Add(gracePeriod)
	for _, p := range gone.roles {
		p.signal(syscall.SIGTERM)
	}
	for _, p := range gone.roles {
		waitFor(time.Until(end), func() bool { return !p.running() })
		p.kill()
	}
	d.record.add("%s has ended", gone.name)
	time.Sleep(time.Until(end))
	d.remove(gone)
}

// remove removes a machine for good.
func (d *deployment) remove(gone *machine) {
	var left []*machine
	for _, m := range d.machines {
		if m != gone {
			left = append(left, m)
		}
	}
	d.machines = left
}

// version returns the version of the configuration that a machine answers, 0 if it answers none.
func (c *caller) version(ip string) int {
	status, text := c.call(time.Second, http.MethodGet, address(ip, controlPort), "", "/Config.Get", "")
	if status != http.StatusOK {
		return 0
	}
	return versionIn(text)
}
