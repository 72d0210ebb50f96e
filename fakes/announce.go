package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

const (
	announceTimeout = time.Second
	// leaveTimeout is how long a leaving target waits until its agent reports that no
	// request to it is in progress.
	leaveTimeout = 30 * time.Second
	// renewalsPerTTL is above one so that an announcement outlives lost renewals.
	renewalsPerTTL = 3
)

// Announcement is the description that a target registers with its agent.
type Announcement struct {
	Name        string `json:"-"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	TTLMS       int64  `json:"ttl_ms"`
}

// Announcer registers a target with its agent and renews the registration.
type Announcer struct {
	url  string
	body []byte
	ttl  time.Duration
}

// NewAnnouncer returns an announcer for the agent at a local address.
func NewAnnouncer(agent string, a Announcement) *Announcer {
	body, err := json.Marshal(a)
	if err != nil {
		panic("fakes: an announcement must be encodable: " + err.Error())
	}
	return &Announcer{
		url:  "http://" + agent + "/v1/targets/" + a.Name,
		body: body,
		ttl:  time.Duration(a.TTLMS) * time.Millisecond,
	}
}

// Run announces the target and renews the announcement until ctx ends, then withdraws
// it and returns once the agent reports that no request is in progress. It calls left
// when the agent has acknowledged the withdrawal.
func (a *Announcer) Run(ctx context.Context, left func()) {
	tick := time.NewTicker(a.ttl / renewalsPerTTL)
	defer tick.Stop()
	for ctx.Err() == nil {
		a.send(ctx, http.MethodPut, a.body)
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	a.leave(left)
}

func (a *Announcer) leave(left func()) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	acknowledged := false
	for ctx.Err() == nil {
		status := a.send(ctx, http.MethodDelete, nil)
		if status != 0 && !acknowledged {
			acknowledged = true
			left()
		}
		// Any other status means that requests are still in progress.
		if status == http.StatusOK || status == http.StatusNotFound {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// send returns the HTTP status of the agent's response, or zero if there was none.
func (a *Announcer) send(ctx context.Context, method string, body []byte) int {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, a.url, bytes.NewReader(body))
	if err != nil {
		panic("fakes: the agent's address must make a URL: " + err.Error())
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
