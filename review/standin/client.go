package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// caller calls the interfaces of a deployment as clients and operators do.
type caller struct {
	http   http.Client
	record *record
}

const (
	queueHost = "novo13.example"
	prefix    = "/gono990/"
)

// newID returns a job id.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// call makes one call and records it. The status is 0 if there was no answer.
func (c *caller) call(timeout time.Duration, method, addr, host, path, body string) (status int, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader([]byte(body)))
	if err != nil {
		panic(err) // the addresses and paths are the case's own
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	resp, err := c.http.Do(req)
	if err != nil {
		c.record.add("%s %s%s: no answer: %v", method, addr, path, err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }() // the body was read
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		c.record.add("%s %s%s: answer broke off: %v", method, addr, path, err)
		return 0, ""
	}
	c.record.add("%s %s%s: %d %.200s", method, addr, path, resp.StatusCode, strings.TrimSpace(string(data)))
	return resp.StatusCode, string(data)
}

// submit sends a job with a given id.
func (c *caller) submit(ip, id, body string) int {
	status, _ := c.call(3*time.Second, http.MethodPost, address(ip, frontendPort), queueHost, prefix+id, body)
	return status
}

// state returns the state of a job, empty if none was told.
func (c *caller) state(ip, id string) (status int, state string) {
	status, text := c.call(3*time.Second, http.MethodGet, address(ip, frontendPort), queueHost, prefix+id, "")
	var answer struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &answer) != nil {
		return status, ""
	}
	return status, answer.State
}

// configuration returns a configuration with one queue.
func configuration(version int, standby ...string) string {
	services := fmt.Sprintf(`{"name":%q,"health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"admission_control":false,"standby":false}`, service)
	for _, name := range standby {
		services += fmt.Sprintf(`,{"name":%q,"health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"admission_control":false,"standby":true}`, name)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-1","host":%q,"path_prefix":%q,"kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":250,"priority":0,"service":%q,"max_attempts":3,"stretch":1.5}],"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, queueHost, prefix, service, services)
}

// put sends a configuration to one machine after another until it is acknowledged.
func (c *caller) put(ips []string, body string, limit time.Duration) bool {
	next := 0
	return waitFor(limit, func() bool {
		ip := ips[next%len(ips)]
		next++
		status, _ := c.call(time.Second, http.MethodPost, address(ip, controlPort), "", "/Config.Put", body)
		return status == http.StatusOK
	})
}

// versionIn returns the version of a configuration, 0 if it can't be read.
func versionIn(text string) int {
	var c struct {
		Version int `json:"version"`
	}
	if json.Unmarshal([]byte(text), &c) != nil {
		return 0
	}
	return c.Version
}
