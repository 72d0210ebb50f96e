package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	dialTimeout = time.Second
	// maxReplyBytes bounds what a worker may make its agent hold.
	maxReplyBytes = 16 << 20
	idleConns     = 8
)

// Client speaks to a worker over HTTP. It bounds each call by the context only.
type Client struct {
	base string
	http *http.Client
}

var _ Worker = (*Client)(nil)

// NewClient returns a client of the worker at an IP and port.
func NewClient(address string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConns,
	}
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport}}
}

// Info implements Worker.
func (c *Client) Info(ctx context.Context) (*apiv1.WorkerInfo, error) {
	var reply InfoReply
	err := c.call(ctx, http.MethodGet, PathInfo, nil, &reply)
	return reply.Info.Message, err
}

// Tasks implements Worker.
func (c *Client) Tasks(ctx context.Context) ([]*apiv1.TaskStatus, error) {
	var reply TasksReply
	err := c.call(ctx, http.MethodGet, PathTasks, nil, &reply)
	return Unwrap(reply.Tasks), err
}

// Start implements Worker.
func (c *Client) Start(ctx context.Context, t *apiv1.StartTask, deadline time.Duration) error {
	req := StartRequest{Task: JSON[*apiv1.StartTask]{t}, DeadlineNS: int64(deadline)}
	return c.call(ctx, http.MethodPost, PathStart, req, nil)
}

// Renew implements Worker.
func (c *Client) Renew(ctx context.Context, tasks []*apiv1.TaskAttempt, deadline time.Duration) error {
	req := RenewRequest{Tasks: Wrap(tasks), DeadlineNS: int64(deadline)}
	return c.call(ctx, http.MethodPost, PathRenew, req, nil)
}

// Throttle implements Worker.
func (c *Client) Throttle(ctx context.Context, t *apiv1.ThrottleTask) error {
	req := ThrottleRequest{Task: JSON[*apiv1.ThrottleTask]{t}}
	return c.call(ctx, http.MethodPost, PathThrottle, req, nil)
}

// Checkpoint implements Worker.
func (c *Client) Checkpoint(ctx context.Context, t *apiv1.TaskAttempt) (string, error) {
	var reply CheckpointReply
	err := c.call(ctx, http.MethodPost, PathCheckpoint, taskRequest(t), &reply)
	return reply.Checkpoint, err
}

// Stop implements Worker.
func (c *Client) Stop(ctx context.Context, t *apiv1.TaskAttempt) error {
	return c.call(ctx, http.MethodPost, PathStop, taskRequest(t), nil)
}

// Forget implements Worker.
func (c *Client) Forget(ctx context.Context, tasks []*apiv1.TaskAttempt) error {
	return c.call(ctx, http.MethodPost, PathForget, ForgetRequest{Tasks: Wrap(tasks)}, nil)
}

// Usage implements Worker.
func (c *Client) Usage(ctx context.Context) ([]*apiv1.UsageReport, error) {
	var reply UsageReply
	err := c.call(ctx, http.MethodGet, PathUsage, nil, &reply)
	return Unwrap(reply.Reports), err
}

func taskRequest(t *apiv1.TaskAttempt) TaskRequest {
	return TaskRequest{Task: JSON[*apiv1.TaskAttempt]{t}}
}

// call sends one request. A refusal comes back as *Error; any other error
// leaves open whether the worker acted.
func (c *Client) call(ctx context.Context, method, path string, body, reply any) error {
	req, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrapf(err, "worker %s", path)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrapf(err, "worker %s: short reply", path)
	}
	if resp.StatusCode != http.StatusOK {
		return refusalError(path, resp.StatusCode, b)
	}
	if reply == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(b, reply), "worker %s: bad reply", path)
}

func (c *Client) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, c.base+path, nil)
	}
	b, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "request can't be encoded")
	}
	return http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(b))
}

func refusalError(path string, status int, body []byte) error {
	var e ErrorReply
	if json.Unmarshal(body, &e) != nil || e.Code == "" {
		return errors.Newf("worker %s: status %d", path, status)
	}
	return &Error{Code: e.Code, Message: e.Message}
}
