package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"text/template"

	"github.com/cockroachdb/errors"
)

// Ports of a cluster's hosts.
const (
	portCallers     = 7000
	portAdmin       = 7001
	portInternal    = 7002
	portAgent       = 7010
	portLocal       = 7011
	portWorker      = 7020
	portTarget      = 7030
	portLinkControl = 7040
	firstLinkPort   = 8000
)

const zones = 3

// addressVariable tells the operators' command where the entries are.
const addressVariable = "CAIRNLIFT_ADDRESS"

// cluster is the hosts of a script and the files that describe them.
type cluster struct {
	entries, agents int
	subnet          *subnet
	// links are TCP proxies between agents and entries, empty when they reach each
	// other directly. Entries know each other by the addresses they listen on, so
	// none is between them: freeze an entry to have it fall silent.
	links []link
}

// link carries what one agent sends to an entry, and the answers.
type link struct {
	from, to, listen, upstream string
}

func (l link) name() string { return l.from + "-" + l.to }

func newCluster(s *subnet, entries, agents int, linked bool) *cluster {
	c := &cluster{entries: entries, agents: agents, subnet: s}
	if !linked {
		return c
	}
	for k := 1; k <= agents; k++ {
		for i := 1; i <= entries; i++ {
			c.links = append(c.links, link{
				from: agentName(k), to: entryName(i),
				listen:   s.address(linkHost, 1, firstLinkPort+len(c.links)),
				upstream: s.address(entryHosts, i, portInternal),
			})
		}
	}
	return c
}

func entryName(i int) string { return fmt.Sprintf("entry%d", i) }
func agentName(i int) string { return fmt.Sprintf("agent%d", i) }
func zoneName(i int) string  { return fmt.Sprintf("zone-%d", (i-1)%zones+1) }

// linksOf returns the links with the name, or those that touch the host.
func (c *cluster) linksOf(name string) []link {
	var out []link
	for _, l := range c.links {
		if l.name() == name || l.from == name || l.to == name {
			out = append(out, l)
		}
	}
	return out
}

// hostSettings is what the templates of settings files see.
type hostSettings struct {
	Name, Zone, Rack           string
	Callers, Admin, Internal   string
	Address, Local, Worker     string
	Peers                      []peer
	DataFolder                 string
	DrainDelay, ShutdownBound  string
	LeaseDuration, AgentPeriod string
}

type peer struct{ Name, Address string }

const (
	hostTemplate = `name = "{{.Name}}"
shutdown_bound = "10s"
`
	// peersHead and peersTail stand around the name of a list of peers.
	peersHead = `{{range .Peers}}
`
	peersTail = `
name = "{{.Name}}"
address = "{{.Address}}"
{{end}}`
	locationTemplate = `
[location]
region = "local"
availability_zone = "{{.Zone}}"
rack = "{{.Rack}}"

[log]
level = "info"
`
	entryTemplate = hostTemplate + `caller_address = "{{.Callers}}"
admin_address = "{{.Admin}}"
internal_address = "{{.Internal}}"
drain_delay = "500ms"
` + peersHead + `[[peers]]` + peersTail + `
[control]
data_folder = "{{.DataFolder}}"
lease_duration = "2s"
snapshot_entries = 200
` + locationTemplate
	agentTemplate = hostTemplate + `address = "{{.Address}}"
local_address = "{{.Local}}"
worker = "{{.Worker}}"
heartbeat_interval = "100ms"
` + peersHead + `[[entries]]` + peersTail + locationTemplate
)

var settingsTemplates = template.Must(template.New("entry").Parse(entryTemplate))

func init() { template.Must(settingsTemplates.New("agent").Parse(agentTemplate)) }

// bookingsText declares the service that targets belong to by default.
const bookingsText = `[[service]]
name = "bookings"
paths = ["/bookings"]
objective = "200ms"
timeout = "5s"
slots = 8
connections = 64
size = { processors = 1, memory = "1GB" }
idempotent = ["GET /bookings"]
`

// write writes each host's settings file and data folder into dir, and
// bookings.toml for the operator.
func (c *cluster) write(dir string) error {
	if err := os.WriteFile(filepath.Join(dir, "bookings.toml"), []byte(bookingsText), 0o644); err != nil {
		return errors.Wrap(err, "bookings.toml")
	}
	for i := 1; i <= c.entries; i++ {
		h := c.entry(i, dir)
		if err := os.MkdirAll(h.DataFolder, 0o755); err != nil {
			return errors.Wrap(err, "data folder")
		}
		if err := writeSettings("entry", dir, h); err != nil {
			return err
		}
	}
	for i := 1; i <= c.agents; i++ {
		if err := writeSettings("agent", dir, c.agent(i)); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) entry(i int, dir string) hostSettings {
	name := entryName(i)
	return hostSettings{
		Name: name, Zone: zoneName(i), Rack: "rack-" + name,
		Callers:    c.subnet.address(entryHosts, i, portCallers),
		Admin:      c.subnet.address(entryHosts, i, portAdmin),
		Internal:   c.subnet.address(entryHosts, i, portInternal),
		Peers:      c.peersOf(name),
		DataFolder: filepath.Join(dir, "data-"+name),
	}
}

func (c *cluster) agent(i int) hostSettings {
	name := agentName(i)
	return hostSettings{
		Name: name, Zone: zoneName(i), Rack: "rack-" + name,
		Address: c.subnet.address(agentHosts, i, portAgent),
		Local:   c.subnet.address(agentHosts, i, portLocal),
		Worker:  c.subnet.address(agentHosts, i, portWorker),
		Peers:   c.peersOf(name),
	}
}

// peersOf gives the entries' addresses as a host knows them.
func (c *cluster) peersOf(host string) []peer {
	var peers []peer
	for i := 1; i <= c.entries; i++ {
		p := peer{Name: entryName(i), Address: c.subnet.address(entryHosts, i, portInternal)}
		for _, l := range c.links {
			if l.from == host && l.to == p.Name {
				p.Address = l.listen
			}
		}
		peers = append(peers, p)
	}
	return peers
}

func writeSettings(kind, dir string, h hostSettings) error {
	f, err := os.Create(filepath.Join(dir, h.Name+".toml"))
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	if err := settingsTemplates.ExecuteTemplate(f, kind, h); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "settings"), f.Close())
	}
	return errors.Wrap(f.Close(), "settings")
}

// variables are the addresses as scripts see them.
func (c *cluster) variables() map[string]string {
	vars := map[string]string{}
	var admins []string
	for i := 1; i <= c.entries; i++ {
		n := strconv.Itoa(i)
		vars["ENTRY"+n] = c.subnet.address(entryHosts, i, portCallers)
		vars["ADMIN"+n] = c.subnet.address(entryHosts, i, portAdmin)
		admins = append(admins, vars["ADMIN"+n])
	}
	vars[addressVariable] = strings.Join(admins, ",")
	for i := 1; i <= c.agents; i++ {
		n := strconv.Itoa(i)
		vars["LOCAL"+n] = c.subnet.address(agentHosts, i, portLocal)
		vars["WORKER"+n] = c.subnet.address(agentHosts, i, portWorker)
		vars["TARGET"+n] = c.subnet.address(agentHosts, i, portTarget)
	}
	return vars
}

var hostPattern = regexp.MustCompile(`^(entry|agent|worker|target|links)([0-9]*)$`)

// command gives the program that runs as a host, and its arguments.
func (c *cluster) command(name string) (program string, args []string, err error) {
	m := hostPattern.FindStringSubmatch(name)
	if m == nil {
		return "", nil, errors.Newf("the cluster has no host %s", name)
	}
	i, _ := strconv.Atoi(m[2])
	at := func(port int) string { return c.subnet.address(agentHosts, i, port) }
	switch m[1] {
	case "entry", "agent":
		return "cairnlift-" + m[1], []string{"--settings", name + ".toml"}, nil
	case "worker":
		return "cairnlift-fake", []string{
			"worker", "--listen", at(portWorker), "--name", name, "--record", name + ".runs",
			"--region", "local", "--zone", zoneName(i), "--rack", "rack-" + agentName(i),
		}, nil
	case "target":
		return "cairnlift-fake", []string{
			"target", "--listen", at(portTarget), "--agent", at(portLocal), "--name", name,
			"--service", "bookings", "--record", name + ".ran",
		}, nil
	}
	args = []string{"link", "--control", c.linkControl()}
	for _, l := range c.links {
		args = append(args, strings.Join([]string{l.name(), l.listen, l.upstream}, "="))
	}
	return "cairnlift-fake", args, nil
}

func (c *cluster) linkControl() string { return c.subnet.address(linkHost, 1, portLinkControl) }

// readyURL answers 200 once a host is ready.
func (c *cluster) readyURL(name string) (string, error) {
	m := hostPattern.FindStringSubmatch(name)
	if m == nil {
		return "", errors.Newf("the cluster has no host %s", name)
	}
	i, _ := strconv.Atoi(m[2])
	switch m[1] {
	case "entry":
		return "http://" + c.subnet.address(entryHosts, i, portAdmin) + "/readyz", nil
	case "agent":
		return "http://" + c.subnet.address(agentHosts, i, portLocal) + "/readyz", nil
	case "worker":
		return "http://" + c.subnet.address(agentHosts, i, portWorker) + "/v1/info", nil
	case "target":
		return "http://" + c.subnet.address(agentHosts, i, portTarget) + "/fake/record", nil
	}
	return "http://" + c.linkControl() + "/v1/ready", nil
}

// serviceURL is a request for the default service through an entry.
func (c *cluster) serviceURL(entry string) (string, error) {
	m := hostPattern.FindStringSubmatch(entry)
	if m == nil || m[1] != "entry" {
		return "", errors.Newf("%s is not an entry", entry)
	}
	i, _ := strconv.Atoi(m[2])
	return "http://" + c.subnet.address(entryHosts, i, portCallers) + "/bookings/probe", nil
}
