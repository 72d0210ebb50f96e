package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/platform/platformtest"
)

// Options describes the cluster of a soak run.
type Options struct {
	// Folder receives the settings, disks, logs and records.
	Folder string
	// Program is the command of cairnlift-platform, to which the role is appended. Its path is absolute.
	Program []string
	// Worker is the command of a worker, to which the worker's settings are appended.
	Worker []string
	// Network is the second and third number of all addresses: "A.B" in 127.A.B.x.
	Network string
	Workers int
	// Controls is the number of control hosts; 0 means 3.
	Controls int
	// Disks is the folder of the control hosts' disks; if empty, they are in Folder.
	Disks string
}

// fleet is the number of workers, control hosts and entries. Each worker has an agent, and may have a link.
type fleet struct{ workers, controls, entries int }

// fleet returns the sizes that the options request.
func (o Options) fleet() fleet {
	controls := cmp.Or(o.Controls, defaultControls)
	return fleet{workers: o.Workers, controls: controls, entries: controls + extraEntries}
}

const (
	defaultControls = 3
	extraEntries    = 1
	// firstWorkerIP is the last number of the first worker's address.
	firstWorkerIP = 101
	pool          = "pool"

	controlMetricsPort = "9102"
	entryMetricsPort   = "9101"
	agentMetricsPort   = "9103"

	workerCPUMilli = 4000
	workerMemoryMB = 8000
	heartbeatMs    = 1500
)

// host is the host of a worker.
type host struct {
	agent, worker *process
	// link proxies the agent's connections to the worker; nil where the agent connects directly.
	link *link
	// sick is whether the next incarnation of the worker fails every task that it runs.
	sick atomic.Bool
}

// cluster is a running deployment.
type cluster struct {
	o        Options
	faults   *faultLog
	seedIPs  []string
	entryIPs []string
	controls []*process
	entries  []*process
	hosts    []*host
	client   platformtest.Client
	// diskDirs are the data folders of the control hosts.
	diskDirs []string
	// machines are the settings of all hosts.
	machines []platformtest.Machine
}

func newCluster(o Options) (*cluster, error) {
	if err := os.MkdirAll(o.Folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "soak folder")
	}
	faults, err := newFaultLog(filepath.Join(o.Folder, faultsFile))
	if err != nil {
		return nil, err
	}
	c := &cluster{o: o, faults: faults}
	size := o.fleet()
	for i := range size.controls {
		c.seedIPs = append(c.seedIPs, c.ip(i+1))
	}
	for i := range size.entries {
		if err := c.addFrontHost(i); err != nil {
			return nil, err
		}
	}
	for i := range o.Workers {
		if err := c.addHost(i); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) ip(last int) string { return fmt.Sprintf("127.%s.%d", c.o.Network, last) }

// addFrontHost adds a host with an entry and, on the first hosts, a control process with a disk.
func (c *cluster) addFrontHost(number int) error {
	m := platformtest.Machine{Name: fmt.Sprintf("front-%d", number), IP: c.ip(number + 1), Zone: "a", SeedIPs: c.seedIPs, Bootstrap: true}
	if number < c.o.fleet().controls {
		m.DataDir = filepath.Join(cmp.Or(c.o.Disks, c.o.Folder), "disk-"+m.Name)
		if err := os.MkdirAll(m.DataDir, 0o700); err != nil {
			return errors.Wrap(err, "disk")
		}
	}
	settings, err := c.writeSettings(m)
	if err != nil {
		return err
	}
	if m.DataDir != "" {
		c.diskDirs = append(c.diskDirs, m.DataDir)
		c.controls = append(c.controls, c.newProcess("control-"+m.Name, roleCommand(c.o.Program, "control", controlMetricsPort, settings)))
	}
	c.entries = append(c.entries, c.newProcess("entry-"+m.Name, roleCommand(c.o.Program, "entry", entryMetricsPort, settings)))
	c.entryIPs = append(c.entryIPs, m.IP)
	return nil
}

// addHost adds a host with a worker and its agent.
func (c *cluster) addHost(number int) error {
	m := platformtest.Machine{
		Name: fmt.Sprintf("host-%d", number), IP: c.ip(firstWorkerIP + number), Zone: workerZone(number), Pool: pool, SeedIPs: c.seedIPs, Bootstrap: true,
	}
	settings, err := c.writeSettings(m)
	if err != nil {
		return err
	}
	h := &host{agent: c.newProcess(fmt.Sprintf("agent-%d", number), roleCommand(c.o.Program, "agent", agentMetricsPort, settings))}
	h.worker = c.newProcess(workerName(number), c.workerCommand(number, m, h))
	c.hosts = append(c.hosts, h)
	return nil
}

func workerName(number int) string { return fmt.Sprintf("w%d", number) }

func (c *cluster) workerCommand(number int, m platformtest.Machine, h *host) func() *exec.Cmd {
	incarnations := 0
	return func() *exec.Cmd {
		incarnations++
		s := platformtest.WorkerSettings{
			ID: workerName(number), Address: platformtest.WorkerAddress(m.IP), Registry: platformtest.ControlAddress(m.IP),
			Pool: pool, Zone: m.Zone, Labels: []string{"a"}, CPUMilli: workerCPUMilli, MemoryMB: workerMemoryMB, HeartbeatMs: heartbeatMs,
			FailsAllRuns: h.sick.Load(), ClockStartMs: clockStartMs(number, incarnations), ClockRatePPM: int64(number%clockRateCount) * clockRateStepPPM,
		}
		if h.link != nil {
			s.Listen = h.link.workerAddress
		}
		text, err := json.Marshal(s)
		if err != nil {
			panic(err) // settings consist of numbers and strings, which always encode
		}
		return newCommand(c.o.Worker, string(text))
	}
}

const (
	// clockRateCount is the number of different clock rates. Consecutive workers' clocks run slower by one
	// step each, up to the 2% that the platform allows.
	clockRateCount   = 3
	clockRateStepPPM = 10_000
	// maxClockStartMs is the highest initial reading of a worker's clock.
	maxClockStartMs = 1_000_000
)

// clockStartMs returns the initial reading of a worker's clock in an incarnation. It may be higher or lower
// than in the previous incarnation.
func clockStartMs(worker, incarnation int) int64 {
	return 1 + int64(worker*7919+incarnation*611_953)%maxClockStartMs
}

func (c *cluster) writeSettings(m platformtest.Machine) (string, error) {
	c.machines = append(c.machines, m)
	path := c.settingsPath(m)
	return path, platformtest.WriteSettings(path, m)
}

func (c *cluster) settingsPath(m platformtest.Machine) string {
	return filepath.Join(c.o.Folder, m.Name+".toml")
}

// endBootstrap turns bootstrapping off in all settings, so that a control process that restarts with an
// empty disk does not found another group.
func (c *cluster) endBootstrap() error {
	for i := range c.machines {
		c.machines[i].Bootstrap = false
		if err := platformtest.WriteSettings(c.settingsPath(c.machines[i]), c.machines[i]); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) newProcess(name string, command func() *exec.Cmd) *process {
	return &process{name: name, command: command, output: filepath.Join(c.o.Folder, name+".log"), faults: c.faults}
}

// start starts all processes, submits a configuration, and waits until it is accepted.
func (c *cluster) start(ctx context.Context, configuration []byte) error {
	for _, p := range c.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	err := c.waitUntil(ctx, "configuration", func() bool {
		status, err := c.client.PutConfiguration(ctx, c.seedIPs[0], configuration)
		return err == nil && status == http.StatusOK
	})
	if err != nil {
		return err
	}
	return c.endBootstrap()
}

func (c *cluster) processes() []*process {
	all := slices.Concat(c.controls, c.entries)
	for _, h := range c.hosts {
		all = append(all, h.agent, h.worker)
	}
	return all
}

// stop kills all processes and closes all links.
func (c *cluster) stop() {
	for _, p := range c.processes() {
		p.kill()
	}
	for _, h := range c.hosts {
		if h.link != nil {
			h.link.close()
		}
	}
}

// remove stops the cluster, and removes the disks if they are outside the run's folder.
func (c *cluster) remove() {
	c.stop()
	if c.o.Disks != "" {
		_ = os.RemoveAll(c.o.Disks) // leftover files are in a scratch folder
	}
}

const (
	// waitTimeout limits a wait for a condition that is certain to become true.
	waitTimeout   = 20 * time.Second
	retryInterval = 100 * time.Millisecond
)

// waitUntil polls a condition until it is true, for at most waitTimeout.
func (c *cluster) waitUntil(ctx context.Context, what string, holds func() bool) error {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, retryInterval) {
		if holds() {
			return nil
		}
	}
	return errors.Newf("%s: timed out after %v", what, waitTimeout)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
