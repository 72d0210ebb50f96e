package jobapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// errorBody is the body of every refusal.
type errorBody struct {
	Error string `json:"error"`
}

// writeJSON answers; a caller that is gone by then needs no answer.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"error":"answer can't be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, errorBody{Error: message})
}

// Client speaks to the interface at one address after another.
type Client struct {
	Addresses []string
	HTTP      *http.Client
}

// StatusError is an answer that is not 200.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string { return http.StatusText(e.Status) + ": " + e.Message }

// PutQueues submits a configuration, as JSON.
func (c *Client) PutQueues(ctx context.Context, configuration []byte) error {
	_, err := c.call(ctx, http.MethodPut, queuesPath, configuration)
	return err
}

// Submit hands a job in, as JSON.
func (c *Client) Submit(ctx context.Context, job []byte) error {
	_, err := c.call(ctx, http.MethodPost, jobsPath, job)
	return err
}

// Read returns the state of a job, or what waits in a queue.
func (c *Client) Read(ctx context.Context, host, path string) (Status, error) {
	var s Status
	body, err := c.call(ctx, http.MethodGet, jobURL(host, path), nil)
	if err != nil {
		return s, err
	}
	return s, errors.Wrap(json.Unmarshal(body, &s), "answer")
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
	return e, errors.Wrap(protojson.Unmarshal(body, e), "answer")
}

// PutWave submits a maintenance wave, as JSON.
func (c *Client) PutWave(ctx context.Context, wave []byte) error {
	_, err := c.call(ctx, http.MethodPost, wavesPath, wave)
	return err
}

// Wave returns how far a maintenance wave is.
func (c *Client) Wave(ctx context.Context, number uint64) (*apiv1.WaveRecord, error) {
	body, err := c.call(ctx, http.MethodGet, wavesPath+"/"+strconv.FormatUint(number, 10), nil)
	if err != nil {
		return nil, err
	}
	w := &apiv1.WaveRecord{}
	return w, errors.Wrap(protojson.Unmarshal(body, w), "answer")
}

// Hosts lists all hosts with their newest moves.
func (c *Client) Hosts(ctx context.Context) ([]*apiv1.HostRecord, error) {
	body, err := c.call(ctx, http.MethodGet, hostsPath, nil)
	if err != nil {
		return nil, err
	}
	resp := &apiv1.JobsReadResponse{}
	err = protojson.Unmarshal(body, resp)
	return resp.Hosts, errors.Wrap(err, "answer")
}

// MoveHost asks that a host moves to a pool.
func (c *Client) MoveHost(ctx context.Context, host, pool string) error {
	body, err := protojson.Marshal(&apiv1.RequestMove{Host: host, Pool: pool})
	if err != nil {
		return errors.Wrap(err, "move")
	}
	_, err = c.call(ctx, http.MethodPost, hostsPath+movePath, body)
	return err
}

func jobURL(host, path string) string {
	return jobsPath + "?" + url.Values{"host": {host}, "path": {path}}.Encode()
}

// call asks each address until one answers. Every call may be repeated: jobs and
// configurations are named by their callers.
func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	err := errors.New("no address is named")
	for _, address := range c.Addresses {
		var answer []byte
		answer, err = c.callAddress(ctx, method, "http://"+address+path, body)
		var refused *StatusError
		if err == nil || errors.As(err, &refused) && refused.Status < http.StatusInternalServerError {
			return answer, err
		}
	}
	return nil, err
}

func (c *Client) callAddress(ctx context.Context, method, target string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	resp, err := c.HTTP.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	defer func() { _ = resp.Body.Close() }() // the whole body is read
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return nil, errors.Wrap(err, "answer")
	}
	if resp.StatusCode == http.StatusOK {
		return answer, nil
	}
	refusal := errorBody{}
	if json.Unmarshal(answer, &refusal) != nil {
		refusal.Error = string(answer)
	}
	return nil, &StatusError{Status: resp.StatusCode, Message: refusal.Error}
}
