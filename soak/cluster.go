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

// Options tell what a cluster is made of.
type Options struct {
	// Folder takes settings, disks, logs and records.
	Folder string
	// Program begins cairnlift-platform; the role follows. Its path is absolute.
	Program []string
	// Worker begins a worker; its settings follow.
	Worker []string
	// Network is the second and third number of all addresses, "A.B" of 127.A.B.x.
	Network string
	Workers int
	// Controls is the number of control hosts; 3 when 0.
	Controls int
	// Disks is the folder of the control hosts' disks; Folder when empty.
	Disks string
}

// fleet is how many workers, control hosts and entries there are; each worker has an agent and may have a
// link.
type fleet struct{ workers, controls, entries int }

// fleet is what the options ask for.
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

// host is a worker's host.
type host struct {
	agent, worker *process
	// link carries the connections of the agent to the worker; nil where they go straight.
	link *link
	// sick: the next life of the worker fails whatever it runs.
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
	// diskDirs are the folders of the control hosts.
	diskDirs []string
	// machines are all hosts, as their settings have them.
	machines []platformtest.Machine
}

func newCluster(o Options) (*cluster, error) {
	if err := os.MkdirAll(o.Folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "folder of the play")
	}
	faults, err := newFaultLog(filepath.Join(o.Folder, faultsFile))
	if err != nil {
		return nil, err
	}
	c := &cluster{o: o, faults: faults}
	of := o.fleet()
	for i := range of.controls {
		c.seedIPs = append(c.seedIPs, c.ip(i+1))
	}
	for i := range of.entries {
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

// addFrontHost adds an entry, with a control process where it has a disk.
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

// addHost adds a worker with its agent.
func (c *cluster) addHost(number int) error {
	m := platformtest.Machine{
		Name: fmt.Sprintf("host-%d", number), IP: c.ip(firstWorkerIP + number), Zone: "a", Pool: pool, SeedIPs: c.seedIPs, Bootstrap: true,
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
	lives := 0
	return func() *exec.Cmd {
		lives++
		s := platformtest.WorkerSettings{
			ID: workerName(number), Address: platformtest.WorkerAddress(m.IP), Registry: platformtest.ControlAddress(m.IP),
			Pool: pool, Zone: m.Zone, Labels: []string{"a"}, CPUMilli: workerCPUMilli, MemoryMB: workerMemoryMB, HeartbeatMs: heartbeatMs,
			FailsAllRuns: h.sick.Load(), ClockStartMs: clockStartMs(number, lives), ClockRatePPM: int64(number%clockRateCount) * clockRateStepPPM,
		}
		if h.link != nil {
			s.Listen = h.link.workerAddress
		}
		text, err := json.Marshal(s)
		if err != nil {
			panic(err) // settings are made of numbers and strings
		}
		return newCommand(c.o.Worker, string(text))
	}
}

const (
	// clockRateCount workers in a row run slower by a step each, up to the 2% that the platform allows.
	clockRateCount   = 3
	clockRateStepPPM = 10_000
	// maxClockStartMs bounds what a worker's clock shows at its start, in milliseconds.
	maxClockStartMs = 1_000_000
)

// clockStartMs is what a worker's clock shows at the start of a life: more than in the life before, or less.
func clockStartMs(worker, lives int) int64 {
	return 1 + int64(worker*7919+lives*611_953)%maxClockStartMs
}

func (c *cluster) writeSettings(m platformtest.Machine) (string, error) {
	c.machines = append(c.machines, m)
	path := c.settingsPath(m)
	return path, platformtest.WriteSettings(path, m)
}

func (c *cluster) settingsPath(m platformtest.Machine) string {
	return filepath.Join(c.o.Folder, m.Name+".toml")
}

// endBootstrap has the settings say that a process which starts now is not among the first: one with an
// empty disk must not found another group.
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

// start starts everything and has the control group take a configuration.
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

// stop ends all processes.
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

// remove ends all processes, and removes disks that are not in the play's folder.
func (c *cluster) remove() {
	c.stop()
	if c.o.Disks != "" {
		_ = os.RemoveAll(c.o.Disks) // what is left lies in a folder for scratch
	}
}

const (
	// waitTimeout bounds a wait for something that comes for sure.
	waitTimeout   = 20 * time.Second
	retryInterval = 100 * time.Millisecond
)

func (c *cluster) waitUntil(ctx context.Context, what string, holds func() bool) error {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, retryInterval) {
		if holds() {
			return nil
		}
	}
	return errors.Newf("%s: not within %v", what, waitTimeout)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
