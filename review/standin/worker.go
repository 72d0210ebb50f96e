package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"time"

	"github.com/cairnlift/cairnlift/platform/platformtest"
)

// startWorkers starts a stand-in for a runner on each side machine: the project's own ("worker"), or one that
// leaves starts without an answer ("runner").
func (d *deployment) startWorkers(kind string) ([]*process, error) {
	var workers []*process
	for i, m := range d.sides() {
		w := d.newWorker(kind, m, i+1)
		if err := w.start(); err != nil {
			return workers, err
		}
		workers = append(workers, w)
	}
	return workers, nil
}

// newWorker returns a stand-in for a runner. Each of its lives has a new id.
func (d *deployment) newWorker(kind string, m *machine, number int) *process {
	lives := 0
	return &process{name: "worker-" + m.name, folder: d.folder, command: func() *exec.Cmd {
		lives++
		text, err := json.Marshal(platformtest.WorkerSettings{
			ID: fmt.Sprintf("i-%d-%d", number, lives), Address: address(m.ip, workerPort), Registry: address(m.ip, controlPort),
			Pool: service, Zone: m.zone, Labels: []string{"a", fmt.Sprintf("r-%d", number)},
			CPUMilli: 32000, MemoryMB: 125000, HeartbeatMs: 1100, ClockStartMs: int64(1000 * number),
		})
		if err != nil {
			panic(err) // settings have only numbers and strings
		}
		return exec.Command(os.Args[0], kind, string(text))
	}}
}

// event is an event of a worker.
type event struct {
	platformtest.Event
	at time.Time
}

// events reads what the workers have run, in order, and adds it to the record.
func (d *deployment) events(workers []*process) []event {
	var list []event
	for _, w := range workers {
		list = append(list, readEvents(filepath.Join(d.folder, w.name+".log"))...)
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].at.Before(list[j].at) })
	for _, e := range list {
		d.record.add("at %.3f s: %s: %s %s run %d %s", e.at.Sub(d.record.began).Seconds(), e.Worker, e.Kind, e.Task, e.Run, e.EndKind)
	}
	return list
}

func readEvents(path string) []event {
	f, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer func() { _ = f.Close() }() // the file was only read
	var list []event
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var e event
		if json.Unmarshal(lines.Bytes(), &e.Event) == nil && e.Kind != "" {
			e.at = e.At()
			list = append(list, e)
		}
	}
	return list
}
