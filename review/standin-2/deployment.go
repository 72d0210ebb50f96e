package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName   = "huvo11a"
	firstPort     = 7720
	lastPort      = 7735
	frontendPort  = 8161
	readyPort     = 8167
	controlPort   = 8166
	appPort       = 8165
	cloudPort     = 8169
	frontMachines = 3
)

var zones = []string{"civic-hall", "depot-hall", "annex-hall"}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec     *record
	program string
	folder  string
	subnet  string
	cloud   *cloud
	// agentDelay is how long after its runner the agent of a machine starts.
	agentDelay time.Duration

	mu        sync.Mutex
	processes map[string]*process
	machines  []*machine
	events    []taskEvent
	closing   bool
}

// process is a process of the project. It is started again when it ends, as the platform does.
type process struct {
	name, role, settings string
	cmd                  *exec.Cmd
	startedAt            time.Time
}

func newDeployment(program string, rec *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, program: program, folder: folder, processes: map[string]*process{}}
	for range 50 {
		d.subnet = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if d.free() {
			return d, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

func (d *deployment) free() bool {
	for host := 1; host <= 30; host++ {
		for _, port := range []int{firstPort, frontendPort, readyPort, controlPort, appPort, cloudPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", d.subnet, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (d *deployment) ip(host int) string { return fmt.Sprintf("%s%d", d.subnet, host) }

func frontName(i int) string { return fmt.Sprintf("frontend-%s-1", zones[i]) }

// start starts the three machines with a disk, which serve clients and control, and the side machines.
// labels holds the labels of each side machine.
func (d *deployment) start(cpu int, labels ...[]string) error {
	var err error
	if d.cloud, err = startCloud(d, d.address(30, cloudPort)); err != nil {
		return err
	}
	for i := range frontMachines {
		data := filepath.Join(d.folder, "data-"+zones[i])
		if err := os.Mkdir(data, 0o700); err != nil {
			return err
		}
		for n, role := range []string{"control", "entry"} {
			settings := d.settings(frontName(i), role, "frontend", 1+i, zones[i], data, "")
			if err := d.launch(frontName(i)+"/"+role, role, settings, 9101+n); err != nil {
				return err
			}
		}
	}
	for i, l := range labels {
		m := &machine{
			d: d, name: fmt.Sprintf("side-%s-%d", zones[i%len(zones)], 1+i/len(zones)), ip: d.ip(10 + i), zone: zones[i%len(zones)],
			app: d.address(10+i, appPort), controlPlane: d.address(10+i, controlPort), labels: l, cpu: cpu, upkeeps: map[uint64]bool{},
		}
		d.machines = append(d.machines, m)
		if err := m.nextRunner(); err != nil {
			return err
		}
		time.Sleep(d.agentDelay)
		settings := d.settings(m.name, "agent", "side", 10+i, m.zone, "", m.app)
		if err := d.launch(m.name+"/agent", "agent", settings, 9103); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) address(host, port int) string { return fmt.Sprintf("%s:%d", d.ip(host), port) }

// settings returns a settings file as the page on how the system is run shows it.
func (d *deployment) settings(name, role, class string, host int, zone, data, app string) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("node_name = %q\nrole = %q\nmachine_class = %q", name, role, class)
	if class == "side" {
		line("serves = [\"side\"]\napp = %q\nservice = %q", app, serviceName)
	} else {
		line("serves = [\"frontend\",\"control\"]\ndata_dir = %q", data)
	}
	line("ip = %q\nzone = %q\nregion = \"west-mids\"\ninternal_ports = [%d,%d]", d.ip(host), zone, firstPort, lastPort)
	line("seed_nodes = [%q,%q,%q]", d.address(1, controlPort), d.address(2, controlPort), d.address(3, controlPort))
	line("bootstrap = true\nloss_counts = %v\ndiscovery = \"local\"\nentry_point = \"vip\"\nheartbeat_ms = %d", class != "side", heartbeatMs)
	line("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"advice\",\"upkeep\",\"sharing\"]")
	line("config_mode = \"highest\"\norders = \"invocation\"")
	line("[zones]")
	for _, z := range zones {
		line("%s = \"west-mids\"", z)
	}
	line("[bind_addresses]\ncontrol_plane = %q", d.address(host, controlPort))
	disk := 0
	if class != "side" {
		line("frontend = %q\nreadiness = %q", d.address(host, frontendPort), d.address(host, readyPort))
		disk = 128
	}
	line("[limits]\ncpu_share = 0.8\nspeed_factor = 1\nmemory_mb = 284\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = %d", disk)
	line("[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0")
	line("[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_timeout_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000")
	line("grace_period_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\nmax_skew_ms = 5000\nrecovery_s = 12")
	line("hold_max_ms = %d\nstop_timeout_ms = 900\ngang_timeout_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250", holdMaxMs)
	line("finish_s = 14\nstatus_s = 120\nfar_x = 1.5\ncheckpoint_s = 1\nrestore_ms = 100\nnotice_ms = 4500\nmove_s = 1.5")
	line("maintenance_s = 2\nfencing_required = true\nlease_ms = 3000\nthaw_slack_ms = 300\npace_ms = 100\nharm_ms = 4000")
	line("[cloud_api]\naddress = %q\nrate_per_s = 60.0\nduties = []\nduty_per_s = 60.0", d.address(30, cloudPort))
	return b.String()
}

func (d *deployment) launch(name, role, settings string, metricsPort int) error {
	path := filepath.Join(d.folder, strings.ReplaceAll(name, "/", "-")+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	p := &process{name: name, role: role, settings: path}
	d.mu.Lock()
	d.processes[name] = p
	d.mu.Unlock()
	return d.run(p, metricsPort)
}

// run starts a process, and again when it has ended.
func (d *deployment) run(p *process, metricsPort int) error {
	log, err := os.OpenFile(strings.TrimSuffix(p.settings, ".toml")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(d.program, p.role, "--metrics-port", fmt.Sprint(metricsPort))
	cmd.Env = []string{"CAIRNLIFT_BOOT=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + d.folder}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closing {
		return log.Close()
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.startedAt = cmd, time.Now()
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		d.mu.Lock()
		closing := d.closing
		d.mu.Unlock()
		if closing {
			return
		}
		d.rec.printf("process %s ended: %v; it is started again", p.name, err)
		time.Sleep(restartDelay)
		if err := d.run(p, metricsPort); err != nil {
			d.rec.printf("process %s: %v", p.name, err)
		}
	}()
	return nil
}

// restartDelay is the short delay after which the platform starts a process that ended.
const restartDelay = 500 * time.Millisecond

func (d *deployment) signal(name string, s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.processes[name]
	d.rec.printf("process %s gets %v", name, s)
	_ = p.cmd.Process.Signal(s)
}

// close ends all processes.
func (d *deployment) close() {
	d.mu.Lock()
	d.closing = true
	for _, p := range d.processes {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
		}
	}
	machines := d.machines
	d.mu.Unlock()
	for _, m := range machines {
		m.mu.Lock()
		if m.runner != nil {
			m.runner.end()
		}
		m.mu.Unlock()
	}
	if d.cloud != nil {
		_ = d.cloud.server.Close()
	}
	time.Sleep(200 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		d.rec.printf("logs are kept")
		fmt.Println(d.folder)
	}
}

// event records what a runner did.
func (d *deployment) event(e taskEvent) {
	d.mu.Lock()
	d.events = append(d.events, e)
	d.mu.Unlock()
	if e.how == "" {
		d.rec.printf("runner of %s begins %s run %d", e.machine, e.task, e.run)
		return
	}
	d.rec.printf("runner of %s: %s run %d ends %s, at work %v", e.machine, e.task, e.run, e.how, e.atWork)
}

// eventsSince returns the events of a job's tasks.
func (d *deployment) eventsOf(job string) []taskEvent {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []taskEvent
	for _, e := range d.events {
		if strings.HasPrefix(e.task, job+".") {
			found = append(found, e)
		}
	}
	return found
}

// leader returns the control process that leads, by the processes' logs.
func (d *deployment) leader() (name string, found bool) {
	newest := -1
	for i := range frontMachines {
		process := frontName(i) + "/control"
		text, err := os.ReadFile(filepath.Join(d.folder, strings.ReplaceAll(process, "/", "-")+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			var entry struct {
				Msg  string `json:"msg"`
				Term int    `json:"term"`
			}
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Msg == "leader is ready" && entry.Term > newest {
				newest, name, found = entry.Term, process, true
			}
		}
	}
	return name, found
}

// startedAt returns when a process was last started.
func (d *deployment) startedAt(name string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.processes[name].startedAt
}

// siteRunners is the number of runners of the site, three a rack.
const siteRunners = 11

// siteLabels returns the labels of the site's runners. The first one has a kind of its own if first is not "a".
func siteLabels(first string) [][]string {
	labels := [][]string{}
	for i := range siteRunners {
		labels = append(labels, []string{"a", fmt.Sprintf("r%d", 1+i/3)})
	}
	labels[0][0] = first
	return labels
}
