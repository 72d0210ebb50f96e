package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const maintenance = 2 * time.Second

// cloud is the platform's interface to its machines.
type cloud struct {
	d      *deployment
	server *http.Server

	mu sync.Mutex
	// waves are the machines of each wave, as the operator sent it.
	waves map[uint64][]string
	// foreign are the entries of another writer in the list.
	foreign []map[string]any
}

// addEntry adds an entry of another writer at the end of the list.
func (c *cloud) addEntry(entry map[string]any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.foreign = append(c.foreign, entry)
	c.d.rec.printf("platform: the list has another writer's entry, too: %v", entry)
}

func startCloud(d *deployment, address string) (*cloud, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &cloud{d: d, waves: map[uint64][]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", c.list)
	mux.HandleFunc("POST /machine-upkeep", c.upkeep)
	c.server = &http.Server{Handler: mux}
	go func() { _ = c.server.Serve(l) }()
	return c, nil
}

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	machines := []map[string]any{}
	for _, m := range c.d.machines {
		m.mu.Lock()
		id := ""
		if m.runner != nil {
			id = m.runner.id
		}
		machines = append(machines, map[string]any{
			"machine_id": m.name, "pool": serviceName, "state": m.state, "zone": m.zone, "labels": m.labels,
			"capacity": map[string]int{"cpu": m.cpu, "mem_mb": 32768, "gpus": 0}, "id": id,
		})
		m.mu.Unlock()
	}
	c.mu.Lock()
	machines = append(machines, c.foreign...)
	c.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"machines": machines, "next_page_token": ""})
}

func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var call struct {
		MachineID string `json:"machine_id"`
		Wave      uint64 `json:"wave"`
	}
	token, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&call) != nil || err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	status, reason := c.begin(call.MachineID, call.Wave, token)
	c.d.rec.printf("platform: upkeep of %s for wave %d, token %d of %s: %d %s", call.MachineID, call.Wave, token,
		r.Header.Get("X-Lease-Holder"), status, reason)
	reply(w, status, map[string]any{"reason": reason})
}

// begin begins the upkeep of a machine: everything that runs there ends at once.
func (c *cloud) begin(name string, wave, token uint64) (status int, reason string) {
	i := slices.IndexFunc(c.d.machines, func(m *machine) bool { return m.name == name })
	if i < 0 {
		return http.StatusBadRequest, ""
	}
	m := c.d.machines[i]
	c.mu.Lock()
	member := slices.Contains(c.waves[wave], name)
	c.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case token < m.token:
		return http.StatusConflict, "fence"
	case !member:
		return http.StatusConflict, "wave"
	}
	m.token = token
	switch {
	case m.upkeeps[wave]:
		return http.StatusOK, ""
	case m.state != "up":
		return http.StatusConflict, "busy"
	}
	m.upkeeps[wave] = true
	m.runner.end()
	m.runner, m.state = nil, "upkeep"
	time.AfterFunc(maintenance, func() {
		if err := m.nextRunner(); err != nil {
			c.d.rec.printf("runner of %s: %v", m.name, err)
			return
		}
		c.d.rec.printf("platform: %s is up again", m.name)
	})
	return http.StatusOK, ""
}
