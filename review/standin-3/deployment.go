package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *os.File
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// process is a process of the deployment. The platform ends it if it takes more than its memory.
type process struct {
	name, role, settings string
	memoryMB             int64

	mu      sync.Mutex
	cmd     *exec.Cmd
	peakMB  int64
	overs   int // how often it was ended for its memory
	crashes int // how often it ended by itself
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	folder, network   string
	controls, workers int
	seeds             []string
	procs             []*process
	serversMu         sync.Mutex
	servers           []*worker
	rec               *record
	closing           chan struct{}
	watching          sync.WaitGroup
}

const (
	frontMemoryMB = 284
	sideMemoryMB  = 152
	service       = "licensing"
	zone          = "civic-hall"
)

func newDeployment(rec *record, controls, workers int) (*deployment, error) {
	d := &deployment{controls: controls, workers: workers, rec: rec, closing: make(chan struct{})}
	var err error
	if d.folder, err = os.MkdirTemp("", "review-3-"); err != nil {
		return nil, err
	}
	for range 50 {
		d.network = fmt.Sprintf("127.%d.%d", 64+rand.IntN(60), 1+rand.IntN(250))
		if l, err := net.Listen("tcp", d.front(0)+":8166"); err == nil {
			_ = l.Close()
			break
		}
	}
	for i := range controls {
		d.seeds = append(d.seeds, d.front(i))
	}
	return d, nil
}

func (d *deployment) front(i int) string { return fmt.Sprintf("%s.%d", d.network, 1+i) }
func (d *deployment) side(i int) string  { return fmt.Sprintf("%s.%d", d.network, 101+i) }

// writeSettings writes a settings file with the fields and values of the pages.
func (d *deployment) writeSettings(name, class, ip, data string, bootstrap bool) error {
	var seeds []string
	for _, s := range d.seeds {
		seeds = append(seeds, strconv.Quote(s+":8166"))
	}
	memory, disk := frontMemoryMB, 128
	bind := fmt.Sprintf("frontend = \"%s:8161\"\nreadiness = \"%s:8167\"\ncontrol_plane = \"%s:8166\"\n", ip, ip, ip)
	extra := ""
	if class == "side" {
		memory, disk = sideMemoryMB, 0
		bind = fmt.Sprintf("control_plane = \"%s:8166\"\n", ip)
		extra = fmt.Sprintf("app = \"%s:8165\"\nservice = %q\n", ip, service)
	}
	if data != "" {
		extra += fmt.Sprintf("data_dir = %q\n", data)
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
	}
	text := fmt.Sprintf(`node_name = %q
role = "role"
machine_class = %q
ip = %q
zone = %q
region = "west-mids"
internal_ports = [7720,7735]
seed_nodes = [%s]
bootstrap = %v
loss_counts = %v
discovery = "local"
entry_point = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","advice","upkeep","sharing"]
config_mode = "highest"
orders = "invocation"
%s
[zones]
civic-hall = "west-mids"
[bind_addresses]
%s
[limits]
memory_mb = %d
max_fds = 4100
link_mbps = 1000.0
disk_mb = %d
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
lease_ms = 3000
fencing_required = true
notice_ms = 4500
pace_ms = 100
harm_ms = 4000
`, name, class, ip, zone, strings.Join(seeds, ","), bootstrap, data != "", extra, bind, memory, disk)
	return os.WriteFile(filepath.Join(d.folder, name+".toml"), []byte(text), 0o600)
}

// start starts all processes and workers, and submits a configuration until it is accepted.
func (d *deployment) start(configuration map[string]any) error {
	for i := range d.controls {
		name := fmt.Sprintf("front-%d", i)
		if err := d.writeSettings(name, "frontend", d.front(i), filepath.Join(d.folder, "disk-"+name), true); err != nil {
			return err
		}
		d.procs = append(d.procs, &process{name: "control-" + name, role: "control", settings: name, memoryMB: frontMemoryMB},
			&process{name: "entry-" + name, role: "entry", settings: name, memoryMB: frontMemoryMB})
	}
	for i := range d.workers {
		name := fmt.Sprintf("side-%d", i)
		if err := d.writeSettings(name, "side", d.side(i), "", true); err != nil {
			return err
		}
		d.procs = append(d.procs, &process{name: "agent-" + name, role: "agent", settings: name, memoryMB: sideMemoryMB})
	}
	for _, p := range d.procs {
		if err := d.launch(p); err != nil {
			return err
		}
		d.watching.Add(1)
		go d.watch(p)
	}
	for i := range d.workers {
		w := newWorker(fmt.Sprintf("i-%08x", i+1), d.side(i), service, zone, 32000, 128000, d.rec)
		if err := w.start(); err != nil {
			return err
		}
		d.servers = append(d.servers, w)
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if status, _ := d.call("POST", d.front(0)+":8166", "", "/Config.Put", configuration, time.Second); status == http.StatusOK {
			return d.endBootstrap()
		}
	}
	return fmt.Errorf("the configuration was not accepted")
}

// endBootstrap rewrites the settings: bootstrap is true for the first start only.
func (d *deployment) endBootstrap() error {
	for i := range d.controls {
		name := fmt.Sprintf("front-%d", i)
		if err := d.writeSettings(name, "frontend", d.front(i), filepath.Join(d.folder, "disk-"+name), false); err != nil {
			return err
		}
	}
	for i := range d.workers {
		if err := d.writeSettings(fmt.Sprintf("side-%d", i), "side", d.side(i), "", false); err != nil {
			return err
		}
	}
	return nil
}

var metricsPorts = map[string]string{"entry": "9101", "control": "9102", "agent": "9103"}

// launch starts a process with the command of the deploy file.
func (d *deployment) launch(p *process) error {
	out, err := os.OpenFile(filepath.Join(d.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command("target/cairnlift-platform", p.role, "--metrics-port", metricsPorts[p.role])
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CAIRNLIFT_BOOT=" + filepath.Join(d.folder, p.settings+".toml")}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.cmd = cmd
	p.mu.Unlock()
	return nil
}

func (d *deployment) closed() bool {
	select {
	case <-d.closing:
		return true
	default:
		return false
	}
}

// watch does what the platform does: it ends a process that uses more than its memory, and starts a
// process that has ended again after a short delay.
func (d *deployment) watch(p *process) {
	defer d.watching.Done()
	for {
		p.mu.Lock()
		cmd := p.cmd
		p.mu.Unlock()
		ended := make(chan struct{})
		go func() {
			_ = cmd.Wait()
			close(ended)
		}()
		over := d.watchMemory(p, cmd, ended)
		if d.closed() {
			return
		}
		p.mu.Lock()
		if over {
			p.overs++
		} else {
			p.crashes++
		}
		p.mu.Unlock()
		d.rec.add("%s has ended: over its memory %v, %s", p.name, over, cmd.ProcessState)
		time.Sleep(500 * time.Millisecond)
		if d.closed() {
			return
		}
		if err := d.launch(p); err != nil {
			d.rec.add("%s can't be started: %v", p.name, err)
			return
		}
	}
}

// watchMemory returns when the process has ended, and whether that was for its memory.
func (d *deployment) watchMemory(p *process, cmd *exec.Cmd, ended chan struct{}) (over bool) {
	for {
		select {
		case <-ended:
			return over
		case <-d.closing:
			_ = cmd.Process.Signal(syscall.SIGKILL)
			<-ended
			return over
		case <-time.After(50 * time.Millisecond):
		}
		mb := residentMB(cmd.Process.Pid)
		p.mu.Lock()
		p.peakMB = max(p.peakMB, mb)
		p.mu.Unlock()
		if mb > p.memoryMB && !over {
			over = true
			d.rec.add("%s uses %d MB of %d MB and is killed", p.name, mb, p.memoryMB)
			_ = cmd.Process.Signal(syscall.SIGKILL)
		}
	}
}

// residentMB returns the memory that a process uses.
func residentMB(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return kb >> 10
		}
	}
	return 0
}

// stop ends everything that was started.
func (d *deployment) stop() {
	close(d.closing)
	d.watching.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call; status 0 means no answer.
func (d *deployment) call(method, address, host, path string, body any, timeout time.Duration) (status int, answer []byte) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, nil
		}
	}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	if host != "" {
		req.Host = host
		req.Header.Set("X-Deadline-Ms", "3000")
	}
	req.Header.Set("Content-Type", "application/json")
	client := *httpClient
	client.Timeout = timeout
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	if answer, err = io.ReadAll(resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// configuration returns a configuration with a route for each prefix.
func configuration(version int, prefixes ...string) map[string]any {
	var routes []map[string]any
	for i, p := range prefixes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": routeHost, "path_prefix": p, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 1000, "priority": i, "service": service, "max_attempts": 3, "stretch": 2.0,
		})
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{
			"name": service, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "admission_control": false, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

const routeHost = "nony24.example"

// replaced puts a worker in the place of one that has crashed.
func (d *deployment) replaced(i int, w *worker) {
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	d.servers[i] = w
}

// workersNow returns the present workers.
func (d *deployment) workersNow() []*worker {
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	return append([]*worker(nil), d.servers...)
}
