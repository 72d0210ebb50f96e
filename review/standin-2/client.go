package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const queueHost = "nony24.example"

// answer is a response; a status of 0 means that there was none.
type answer struct {
	status int
	body   string
}

// call makes one call and records it.
func (d *deployment) call(method, address, host, path string, body any, timeout time.Duration) answer {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(text))
	if err != nil {
		return answer{}
	}
	req.Host = host
	req.Close = true
	req.Header.Set("Content-Type", "application/json")
	if host != "" {
		req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		d.rec.printf("%s %s%s at %s: no response", method, host, path, address)
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		d.rec.printf("%s %s%s at %s: broken response", method, host, path, address)
		return answer{}
	}
	a := answer{resp.StatusCode, string(got)}
	if len(got) > 120 {
		got = got[:120]
	}
	d.rec.printf("%s %s%s at %s: %d %s", method, host, path, address, a.status, got)
	return a
}

// client makes a client's call at the entry of a machine, and again at others until there is a clear answer.
func (d *deployment) client(front int, method, path string, body any) answer {
	for try := range 8 {
		a := d.call(method, d.address(1+(front+try)%frontMachines, frontendPort), queueHost, path, body, 3*time.Second)
		if a.status != 0 && a.status < 500 && a.status != http.StatusTooManyRequests {
			return a
		}
		time.Sleep(200 * time.Millisecond)
	}
	return answer{}
}

// operator makes an operator's call until there is an acknowledgement or a refusal.
func (d *deployment) operator(method, path string, body any) error {
	var a answer
	for try := range 40 {
		a = d.call(method, d.address(1+try%frontMachines, controlPort), "", path, body, 2*time.Second)
		if a.status == http.StatusOK {
			return nil
		}
		if a.status >= 400 && a.status < 500 && a.status != http.StatusTooManyRequests {
			break
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("%s %s has no acknowledgement: %d %s", method, path, a.status, a.body)
}

func configuration(version int, prefixes ...string) map[string]any {
	routes := []map[string]any{}
	for i, p := range prefixes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": queueHost, "path_prefix": p, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 2500, "priority": 0, "service": serviceName, "max_attempts": 3, "stretch": 2.0,
		})
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": serviceName, "health_path": "/health", "max_connections": 64, "protocol": "h1",
			"tls": false, "admission_control": false, "standby": false}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// waitFor waits until a condition holds.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// begun returns how many runs of a job have begun.
func (d *deployment) begun(job string) int {
	n := 0
	for _, e := range d.eventsOf(job) {
		if e.how == "" {
			n++
		}
	}
	return n
}
