package main

import (
	"net/http"
	"strings"
	"time"
)

// playForeignEntry sends a wave for a machine that runs tasks of a step which may miss one. The platform's
// list has an entry of another writer for that machine too, behind the proper one.
func playForeignEntry(d *deployment, trouble bool) (broken bool, err error) {
	if err := d.start(8000, []string{"a", "r1"}, []string{"a", "r1"}, []string{"a", "r2"}, []string{"a", "r2"}); err != nil {
		return false, err
	}
	if err := d.operator(http.MethodPost, "/Config.Put", configuration(1, "/queue/")); err != nil {
		return false, err
	}
	id := newJobID()
	job := map[string]any{"spec": "lasts", "steps": []map[string]any{
		{"count": 8, "cpu": 1000, "mem_mb": 64, "estimated_ms": 1000, "long_running": true, "may_miss": 1},
	}}
	if a := d.client(0, http.MethodPost, "/queue/"+id, job); a.status != http.StatusOK {
		return false, errNotAccepted
	}
	if !waitFor(10*time.Second, func() bool { return d.begun(id) == 8 }) {
		return false, errNotBegun
	}
	time.Sleep(8 * time.Second)
	var chosen *machine
	for _, m := range d.machines {
		if chosen == nil || m.load() > chosen.load() {
			chosen = m
		}
	}
	d.rec.printf("%d tasks of the step are at work on %s", chosen.load(), chosen.name)
	if trouble {
		d.cloud.addEntry(map[string]any{
			"machine_id": chosen.name, "pool": "zk91x", "state": "up", "zone": chosen.zone, "labels": []string{},
			"capacity": map[string]int{"cpu": 1000, "mem_mb": 1024, "gpus": 0}, "id": chosen.runnerID(0),
		})
	}
	if err := d.startWave(1, chosen.name); err != nil {
		return false, err
	}
	if !waitFor(60*time.Second, func() bool { return chosen.hadUpkeep(1) }) {
		return false, errNoUpkeep
	}
	time.Sleep(500 * time.Millisecond)
	ended := 0
	for _, e := range d.eventsOf(id) {
		if e.how == "gone" && e.atWork && strings.HasPrefix(e.task, id) {
			ended++
		}
	}
	if ended > 1 {
		d.rec.printf("AVAIL: the upkeep ended %d tasks at work of a step that may miss 1", ended)
		broken = true
	}
	return broken, nil
}

// load returns how many tasks the machine's runner runs.
func (m *machine) load() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runner == nil {
		return 0
	}
	return m.runner.load()
}

func (m *machine) hadUpkeep(wave uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.upkeeps[wave]
}

// startWave sends a wave as the operator does.
func (d *deployment) startWave(number uint64, machines ...string) error {
	d.cloud.mu.Lock()
	d.cloud.waves[number] = machines
	d.cloud.mu.Unlock()
	return d.operator(http.MethodPost, "/wave-start", map[string]any{"wave": number, "machines": machines, "duration_s": 40, "cap": 1})
}
