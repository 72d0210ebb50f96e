package fakes

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cairnlift/cairnlift/worker"
)

// Outcome is the final outcome of a request as its caller sees it.
type Outcome string

// The outcomes that the system reports, followed by those that a caller determines.
const (
	Answered Outcome = "answered"
	Failed   Outcome = "failed"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
	// Unsent means that no entry accepted the connection and nothing was sent.
	Unsent Outcome = "unsent"
	// Lost means that the connection broke before the answer was complete.
	Lost Outcome = "lost"
	// NoAnswer means that the caller timed out while the connection was still open.
	NoAnswer Outcome = "no-answer"
	// Unnamed means an answer without an outcome header, as sent by a target directly.
	Unnamed Outcome = "unnamed"
)

const (
	// responseGrace is how long after its deadline a call may end. It allows for the
	// transfer of the answer and for scheduling delays on a machine that runs a whole
	// cluster.
	responseGrace = 2 * time.Second
	// maxFreeze is added to a caller's timeout, since an entry that a script freezes
	// cannot answer before it is thawed. Check deducts the time for which it was frozen.
	maxFreeze = 10 * time.Second
)

// Call is one request of a stand-in caller.
type Call struct {
	ID          string
	Method      string
	URI         string
	Key         string
	Body        []byte
	AnswerBytes int
	WorkMS      int
}

// CallResult is the result of a call.
type CallResult struct {
	CallerID  string `json:"caller_id"`
	RequestID string `json:"request_id,omitempty"`
	Method    string `json:"method"`
	URI       string `json:"uri"`
	Key       string `json:"key,omitempty"`
	// Repeatable marks a call that may run more than once.
	Repeatable bool    `json:"repeatable"`
	Outcome    Outcome `json:"outcome"`
	Reason     string  `json:"reason,omitempty"`
	Status     int     `json:"status,omitempty"`
	// Correct reports that the answer is complete and belongs to this request.
	Correct    bool   `json:"own"`
	RetryAfter string `json:"retry_after,omitempty"`
	Entry      string `json:"entry"`
	Sends      int    `json:"sends"`
	// At is the start of the last attempt and Duration its length; MaxDuration limits
	// the part of it during which the entry was not frozen.
	At          time.Duration `json:"at_ns"`
	Duration    time.Duration `json:"took_ns"`
	MaxDuration time.Duration `json:"bound_ns"`
	// Latency covers all attempts.
	Latency time.Duration `json:"latency_ns"`
	Error   string        `json:"error,omitempty"`
}

// sender sends calls over pooled connections.
type sender struct {
	http    *http.Client
	timeout time.Duration
}

func newSender(connections int, timeout time.Duration) *sender {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: connections,
		DisableCompression:  true,
	}
	return &sender{http: &http.Client{Transport: transport}, timeout: timeout}
}

// send makes one attempt at a call through an entry.
func (s *sender) send(ctx context.Context, entry string, c Call) CallResult {
	maxDuration := s.timeout + responseGrace
	ctx, cancel := context.WithTimeout(ctx, maxDuration+maxFreeze)
	defer cancel()
	start := worker.Now()
	res := s.exchange(ctx, entry, c)
	res.At, res.Duration, res.MaxDuration = start, worker.Now()-start, maxDuration
	return res
}

func (s *sender) exchange(ctx context.Context, entry string, c Call) CallResult {
	res := CallResult{
		CallerID: c.ID, Method: c.Method, URI: c.URI, Key: c.Key, Entry: entry,
		Repeatable: c.Method == http.MethodGet,
	}
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}
	resp, err := s.http.Do(s.request(httptrace.WithClientTrace(ctx, trace), entry, c))
	if err != nil {
		return res.transportFailure(ctx, err, sent.Load())
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	res.Status = resp.StatusCode
	res.RequestID = resp.Header.Get(HeaderResponseID)
	res.Reason = resp.Header.Get(HeaderReason)
	res.RetryAfter = resp.Header.Get("Retry-After")
	if err != nil {
		return res.transportFailure(ctx, err, true)
	}
	res.Outcome = outcomeOf(resp)
	res.Correct = bytes.Equal(body, Answer(c.ID, c.Method, c.URI, c.Body, c.AnswerBytes))
	return res
}

func (s *sender) request(ctx context.Context, entry string, c Call) *http.Request {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+entry+c.URI, bytes.NewReader(c.Body))
	if err != nil {
		panic("fakes: an entry's address must make a URL: " + err.Error())
	}
	req.Header.Set(HeaderCallerID, c.ID)
	if c.Key != "" {
		req.Header.Set(HeaderIdempotencyKey, c.Key)
	}
	if c.WorkMS > 0 {
		req.Header.Set(HeaderWorkMS, strconv.Itoa(c.WorkMS))
	}
	if c.AnswerBytes > 0 {
		req.Header.Set(HeaderAnswerBytes, strconv.Itoa(c.AnswerBytes))
	}
	return req
}

func outcomeOf(resp *http.Response) Outcome {
	if o := resp.Header.Get(HeaderOutcome); o != "" {
		return Outcome(o)
	}
	return Unnamed
}

// transportFailure sets the outcome of a call that ended in a transport error. Whether
// anything was sent cannot be derived from the error: the HTTP client itself retries a
// GET whose connection breaks, and the retry may fail to connect.
func (r CallResult) transportFailure(ctx context.Context, err error, sent bool) CallResult {
	r.Error = err.Error()
	r.Outcome = Lost
	if !sent {
		r.Outcome = Unsent
	}
	if ctx.Err() != nil {
		r.Outcome = NoAnswer
	}
	return r
}
