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
	// leaveTimeout is how long a leaving target waits for its agent to be done with it.
	leaveTimeout = 30 * time.Second
	// renewalsPerTTL keeps an announcement alive over lost renewals.
	renewalsPerTTL = 3
)

// Announcement is what a target tells its agent.
type Announcement struct {
	Name        string `json:"-"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	TTLMS       int64  `json:"ttl_ms"`
}

// Announcer keeps a target announced.
type Announcer struct {
	url  string
	body []byte
	ttl  time.Duration
}

// NewAnnouncer returns an announcer to the agent at a local address.
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

// Run announces and renews until ctx ends, then takes the announcement back and
// returns once the agent says that nothing is in progress. It calls left when the
// agent has taken note.
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
	noted := false
	for ctx.Err() == nil {
		status := a.send(ctx, http.MethodDelete, nil)
		if status != 0 && !noted {
			noted = true
			left()
		}
		// Anything else means that requests are still in progress.
		if status == http.StatusOK || status == http.StatusNotFound {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// send returns the agent's status, zero when there was none.
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
