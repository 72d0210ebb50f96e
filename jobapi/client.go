package jobapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// errorBody is the JSON body of every error response.
type errorBody struct {
	Error string `json:"error"`
}

// writeJSON writes a JSON response. Write errors are ignored, because a client that has
// disconnected needs no response.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"error":"response cannot be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, errorBody{Error: message})
}

// Client calls the API, trying its addresses one after another.
type Client struct {
	Addresses []string
	HTTP      *http.Client
}

// StatusError is a response with a status other than 200.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string { return http.StatusText(e.Status) + ": " + e.Message }

// PutQueues submits a configuration in JSON.
func (c *Client) PutQueues(ctx context.Context, configuration []byte) error {
	_, err := c.call(ctx, http.MethodPut, queuesPath, configuration)
	return err
}

// Submit submits a job in JSON.
func (c *Client) Submit(ctx context.Context, job []byte) error {
	_, err := c.call(ctx, http.MethodPost, jobsPath, job)
	return err
}

// Read returns the state of a job, or the number of pending jobs of a queue.
func (c *Client) Read(ctx context.Context, host, path string) (Status, error) {
	var s Status
	body, err := c.call(ctx, http.MethodGet, jobURL(host, path), nil)
	if err != nil {
		return s, err
	}
	return s, errors.Wrap(json.Unmarshal(body, &s), "decode response")
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, host, path string) error {
	_, err := c.call(ctx, http.MethodDelete, jobURL(host, path), nil)
	return err
}

// Explain returns a job's tasks, runs and waits.
func (c *Client) Explain(ctx context.Context, id string) (*apiv1.JobExplanation, error) {
	body, err := c.call(ctx, http.MethodGet, explanationsPath+"/"+url.PathEscape(id), nil)
	if err != nil {
		return nil, err
	}
	e := &apiv1.JobExplanation{}
	return e, errors.Wrap(protojson.Unmarshal(body, e), "decode response")
}

// PutWave submits a maintenance wave in JSON.
func (c *Client) PutWave(ctx context.Context, wave []byte) error {
	_, err := c.call(ctx, http.MethodPost, wavesPath, wave)
	return err
}

// Wave returns the progress of a maintenance wave.
func (c *Client) Wave(ctx context.Context, number uint64) (*apiv1.WaveRecord, error) {
	body, err := c.call(ctx, http.MethodGet, wavesPath+"/"+strconv.FormatUint(number, 10), nil)
	if err != nil {
		return nil, err
	}
	w := &apiv1.WaveRecord{}
	return w, errors.Wrap(protojson.Unmarshal(body, w), "decode response")
}

// Zones lists all availability zones.
func (c *Client) Zones(ctx context.Context) ([]*apiv1.ZoneRecord, error) {
	body, err := c.call(ctx, http.MethodGet, zonesPath, nil)
	if err != nil {
		return nil, err
	}
	resp := &apiv1.JobsReadResponse{}
	err = protojson.Unmarshal(body, resp)
	return resp.Zones, errors.Wrap(err, "decode response")
}

// Workers lists the observed rates of all workers. It returns false if the leader does not rate them.
func (c *Client) Workers(ctx context.Context) ([]*apiv1.WorkerRateRecord, bool, error) {
	body, err := c.call(ctx, http.MethodGet, workersPath, nil)
	if err != nil {
		return nil, false, err
	}
	resp := &apiv1.JobsReadResponse{}
	err = protojson.Unmarshal(body, resp)
	return resp.Workers, resp.WorkersRated, errors.Wrap(err, "decode response")
}

// OrderZone cordons or uncordons an availability zone.
func (c *Client) OrderZone(ctx context.Context, zone string, cordoned bool, operator string) error {
	path := uncordonPath
	if cordoned {
		path = cordonPath
	}
	return c.order(ctx, zonesPath+"/"+url.PathEscape(zone)+path, operator)
}

// Holds lists the holds of all queues.
func (c *Client) Holds(ctx context.Context) ([]*apiv1.QueueHold, error) {
	resp, err := c.readAll(ctx, holdsPath)
	return resp.GetQueues(), err
}

// Accounts lists the client accounts.
func (c *Client) Accounts(ctx context.Context) ([]*apiv1.AccountRecord, error) {
	resp, err := c.readAll(ctx, accountsPath)
	return resp.GetAccounts(), err
}

func (c *Client) readAll(ctx context.Context, path string) (*apiv1.JobsReadResponse, error) {
	body, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	resp := &apiv1.JobsReadResponse{}
	return resp, errors.Wrap(protojson.Unmarshal(body, resp), "decode response")
}

// OrderQueue holds or releases a queue.
func (c *Client) OrderQueue(ctx context.Context, queue string, held bool, operator string) error {
	path := releasePath
	if held {
		path = holdPath
	}
	return c.order(ctx, queuesPath+"/"+url.PathEscape(queue)+path, operator)
}

// Prioritize puts a job before the others of its priority.
func (c *Client) Prioritize(ctx context.Context, id, operator string) error {
	return c.order(ctx, jobsPath+"/"+url.PathEscape(id)+prioritizePath, operator)
}

// order sends an operator's order.
func (c *Client) order(ctx context.Context, path, operator string) error {
	_, err := c.call(ctx, http.MethodPost, path+"?"+url.Values{"operator": {operator}}.Encode(), nil)
	return err
}

// Hosts lists all hosts with their newest moves.
func (c *Client) Hosts(ctx context.Context) ([]*apiv1.HostRecord, error) {
	body, err := c.call(ctx, http.MethodGet, hostsPath, nil)
	if err != nil {
		return nil, err
	}
	resp := &apiv1.JobsReadResponse{}
	err = protojson.Unmarshal(body, resp)
	return resp.Hosts, errors.Wrap(err, "decode response")
}

// MoveHost requests that a host moves to a pool.
func (c *Client) MoveHost(ctx context.Context, host, pool string) error {
	body, err := protojson.Marshal(&apiv1.RequestMove{Host: host, Pool: pool})
	if err != nil {
		return errors.Wrap(err, "encode move request")
	}
	_, err = c.call(ctx, http.MethodPost, hostsPath+movePath, body)
	return err
}

func jobURL(host, path string) string {
	return jobsPath + "?" + url.Values{"host": {host}, "path": {path}}.Encode()
}

// call tries each address until one responds with a status below 500. Every call is safe to repeat:
// jobs and configurations are identified by their callers, a copy of an order about an availability zone
// or queue has no effect once a later order was accepted, and a job is put first once only. A refusal is
// reported as unknown (504) if an earlier attempt may still be committed.
func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	err := errors.New("no server address configured")
	var unknown error // of the last attempt that may still be committed
	for _, address := range c.Addresses {
		var response []byte
		response, err = c.callAddress(ctx, method, "http://"+address+path, body)
		if err == nil {
			return response, nil
		}
		var statusErr *StatusError
		if errors.As(err, &statusErr) && statusErr.Status < http.StatusInternalServerError {
			break
		}
		if method != http.MethodGet && mayBeCommitted(err) {
			unknown = err
		}
	}
	if unknown != nil && !finalRefusal(err) {
		return nil, &StatusError{
			Status:  http.StatusGatewayTimeout,
			Message: "an attempt may still be committed: " + unknown.Error() + "; the last attempt: " + err.Error(),
		}
	}
	return nil, err
}

// mayBeCommitted reports whether a request may have been committed, or may be later, although it failed.
// Status 503 says that it never will be, and 501 that the deployment does not support it.
func mayBeCommitted(err error) bool {
	var statusErr *StatusError
	if errors.As(err, &statusErr) {
		return statusErr.Status >= http.StatusInternalServerError &&
			statusErr.Status != http.StatusServiceUnavailable && statusErr.Status != http.StatusNotImplemented
	}
	var op *net.OpError
	return !(errors.As(err, &op) && op.Op == "dial")
}

// finalRefusal reports whether a response refuses every copy of the request: it is invalid or not supported,
// or its job is unknown or has ended. Other reasons, such as a limit, may not hold for a copy that is applied
// later.
func finalRefusal(err error) bool {
	var statusErr *StatusError
	if !errors.As(err, &statusErr) {
		return false
	}
	switch statusErr.Status {
	case http.StatusBadRequest, http.StatusGone, http.StatusNotImplemented:
		return true
	}
	return false
}

func (c *Client) callAddress(ctx context.Context, method, requestURL string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	resp, err := c.HTTP.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }() // an error is of no interest once the body has been read
	response, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if resp.StatusCode == http.StatusOK {
		return response, nil
	}
	failure := errorBody{}
	if json.Unmarshal(response, &failure) != nil {
		failure.Error = string(response)
	}
	return nil, &StatusError{Status: resp.StatusCode, Message: failure.Error}
}
