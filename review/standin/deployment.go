package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The ports of a deployment, the same on all of its machines. The addresses are loopback addresses, one
// for each machine.
const (
	firstInternalPort = 7720
	lastInternalPort  = 7735
	frontendPort      = 8161
	controlPort       = 8166
	readinessPort     = 8167
	workerPort        = 8080
	hostsPort         = 8169
)

// The metrics ports of the deploy file.
const (
	entryMetrics   = "9101"
	controlMetrics = "9102"
	agentMetrics   = "9103"
)

const service = "licensing"

// machine is one machine of a deployment.
type machine struct {
	name, ip, zone string
	front, disk    bool
	roles          []*process
}

// deployment is a running deployment.
type deployment struct {
	folder, program string
	network         string
	machines        []*machine
	seeds           []string
	bootstrap       bool
	hostsAddress    string
	record          *record
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// newDeployment returns a deployment with three machines that have a disk and three that have none, one of
// each in three zones, and with machines of workers. All but the latter serve control and callers, as the
// deploy file says.
func newDeployment(folder, program string, workers int, r *record) (*deployment, error) {
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	d := &deployment{folder: folder, program: program, network: network, bootstrap: true, record: r}
	for i, zone := range []string{"civic-hall", "depot-hall", "annex-hall"} {
		d.add(&machine{name: "frontend-" + zone + "-1", ip: d.ip(i + 1), zone: zone, front: true, disk: true})
		d.seeds = append(d.seeds, d.ip(i+1))
	}
	for i, zone := range []string{"civic-hall", "depot-hall", "annex-hall"} {
		d.add(&machine{name: "frontend-" + zone + "-2", ip: d.ip(i + 11), zone: zone, front: true})
	}
	for i := range workers {
		zone := []string{"civic-hall", "depot-hall", "annex-hall"}[i%3]
		d.add(&machine{name: fmt.Sprintf("side-%d", i+1), ip: d.ip(101 + i), zone: zone})
	}
	return d, nil
}

// freeNetwork returns the first three numbers of loopback addresses on which the ports are free.
func freeNetwork() (string, error) {
	for try := range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+try*7)%200, 1+(os.Getpid()/200+try)%250)
		l, err := net.Listen("tcp", address(network+".1", controlPort))
		if err != nil {
			continue
		}
		return network, l.Close()
	}
	return "", errors.New("no free loopback addresses")
}

func (d *deployment) ip(last int) string { return fmt.Sprintf("%s.%d", d.network, last) }

func (d *deployment) add(m *machine) {
	if m.front {
		m.roles = append(m.roles, d.newRole(m, "control", controlMetrics), d.newRole(m, "entry", entryMetrics))
	} else {
		m.roles = append(m.roles, d.newRole(m, "agent", agentMetrics))
	}
	d.machines = append(d.machines, m)
}

func (d *deployment) fronts() []*machine {
	var list []*machine
	for _, m := range d.machines {
		if m.front {
			list = append(list, m)
		}
	}
	return list
}

func (d *deployment) sides() []*machine {
	var list []*machine
	for _, m := range d.machines {
		if !m.front {
			list = append(list, m)
		}
	}
	return list
}

// writeSettings writes the settings files of all machines, in the platform's format.
func (d *deployment) writeSettings() error {
	for _, m := range d.machines {
		if err := os.WriteFile(d.settingsPath(m), []byte(d.settings(m)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) settingsPath(m *machine) string { return filepath.Join(d.folder, m.name+".toml") }

func (d *deployment) settings(m *machine) string {
	var seeds []string
	for _, ip := range d.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", address(ip, controlPort)))
	}
	class, limits, data, bind := "side", "", "", ""
	if m.front {
		class = "frontend"
		bind = fmt.Sprintf("frontend = %q\nreadiness = %q\n", address(m.ip, frontendPort), address(m.ip, readinessPort))
	}
	if m.disk {
		folder := filepath.Join(d.folder, "disk-"+m.name)
		if err := os.MkdirAll(folder, 0o700); err != nil {
			panic(err) // the folder of the test was just made
		}
		data, limits = fmt.Sprintf("data_dir = %q\n", folder), "disk_mb = 128\n"
	}
	cloud := "[cloud_api]\naddress = \"\"\n"
	if d.hostsAddress != "" {
		cloud = fmt.Sprintf("[cloud_api]\naddress = %q\nrate_per_s = 60.0\nduties = []\nduty_per_s = 60.0\n", d.hostsAddress)
	}
	return fmt.Sprintf(`node_name = %q
machine_class = %q
ip = %q
zone = %q
region = "west-mids"
internal_ports = [%d,%d]
seed_nodes = [%s]
bootstrap = %v
loss_counts = %v
%sdiscovery = "local"
entry_point = "vip"
heartbeat_ms = 1100
contracts = ["base","drain","config","cost","recover","sched","advice","upkeep","sharing"]
config_mode = "highest"
orders = "invocation"
advice = ""
service = %q
app = %q
[zones]
civic-hall = "west-mids"
depot-hall = "west-mids"
annex-hall = "west-mids"
[bind_addresses]
%scontrol_plane = %q
[limits]
memory_mb = 284
max_fds = 4100
%s[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_period_s = 6
config_apply_ms = 2000
recovery_s = 12
hold_max_ms = 6000
stop_timeout_ms = 900
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
fencing_required = true
lease_ms = 3000
maintenance_s = 2
notice_ms = 4500
%s`, m.name, class, m.ip, m.zone, firstInternalPort, lastInternalPort, strings.Join(seeds, ","), d.bootstrap, m.disk, data,
		service, address(m.ip, workerPort), bind, address(m.ip, controlPort), limits, cloud)
}

// process is a process that can be killed and started again.
type process struct {
	name    string
	command func() *exec.Cmd
	folder  string
	cmd     *exec.Cmd
	ended   chan struct{}
}

// newRole returns the process of a role, with the command of the deploy file.
func (d *deployment) newRole(m *machine, role, metricsPort string) *process {
	return &process{name: role + "-" + m.name, folder: d.folder, command: func() *exec.Cmd {
		cmd := exec.Command(d.program, role, "--metrics-port", metricsPort)
		cmd.Env = append(os.Environ(), "CAIRNLIFT_BOOT="+d.settingsPath(m), "GOMAXPROCS=1")
		return cmd
	}}
}

func (p *process) start() error {
	out, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // the process has its own descriptor
	cmd := p.command()
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		_ = cmd.Wait() // the log shows how the process ended
		close(ended)
	}()
	return nil
}

func (p *process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) {
	if p.running() {
		_ = p.cmd.Process.Signal(s) // the process may have just ended
	}
}

func (p *process) kill() {
	if p.running() {
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
}

// startAll starts all roles of all machines that are not running.
func (d *deployment) startAll() error {
	if err := d.writeSettings(); err != nil {
		return err
	}
	for _, m := range d.machines {
		for _, p := range m.roles {
			if p.running() {
				continue
			}
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	return nil
}

// killAll kills all roles of all machines at the same moment.
func (d *deployment) killAll() {
	for _, m := range d.machines {
		for _, p := range m.roles {
			p.signal(syscall.SIGKILL)
		}
	}
	for _, m := range d.machines {
		for _, p := range m.roles {
			p.kill()
		}
	}
}

// exits returns the roles that have ended by themselves.
func (d *deployment) exits() []string {
	var list []string
	for _, m := range d.machines {
		for _, p := range m.roles {
			if p.cmd != nil && !p.running() {
				list = append(list, p.name)
			}
		}
	}
	return list
}

const pollInterval = 100 * time.Millisecond

// waitFor polls a condition until it holds, for at most a given time.
func waitFor(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		if holds() {
			return true
		}
	}
	return false
}
