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

// Outcome is what a caller learns about a request in the end.
type Outcome string

// The outcomes that the system names, and those that a caller sees for itself.
const (
	Answered Outcome = "answered"
	Failed   Outcome = "failed"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
	// Unsent: no entry took the connection; nothing was sent.
	Unsent Outcome = "unsent"
	// Lost: the connection broke before a whole answer.
	Lost Outcome = "lost"
	// NoAnswer: the caller gave up and the connection still stood.
	NoAnswer Outcome = "no-answer"
	// Unnamed: an answer without an outcome, as from a target directly.
	Unnamed Outcome = "unnamed"
)

const (
	// responseGrace is how long past the deadline a call may end, for the way of the
	// answer and the waits for a processor on a machine that runs a whole cluster.
	responseGrace = 2 * time.Second
	// maxFreeze is added to a caller's patience: an entry that a script freezes
	// can't answer before it is thawed. The judge deducts the time it was frozen.
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

// CallResult is what became of a call.
type CallResult struct {
	CallerID  string `json:"caller_id"`
	RequestID string `json:"request_id,omitempty"`
	Method    string `json:"method"`
	URI       string `json:"uri"`
	Key       string `json:"key,omitempty"`
	// Repeatable calls may run more than once.
	Repeatable bool    `json:"repeatable"`
	Outcome    Outcome `json:"outcome"`
	Reason     string  `json:"reason,omitempty"`
	Status     int     `json:"status,omitempty"`
	// Correct: the answer is whole and answers this request.
	Correct    bool   `json:"own"`
	RetryAfter string `json:"retry_after,omitempty"`
	Entry      string `json:"entry"`
	Sends      int    `json:"sends"`
	// At is when the last send began, Took how long it lasted, and Bound how long it
	// may have lasted while the entry was not frozen.
	At          time.Duration `json:"at_ns"`
	Duration    time.Duration `json:"took_ns"`
	MaxDuration time.Duration `json:"bound_ns"`
	// Latency is that of all sends together.
	Latency time.Duration `json:"latency_ns"`
	Error   string        `json:"error,omitempty"`
}

// sender makes calls over pooled connections.
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
	bound := s.timeout + responseGrace
	ctx, cancel := context.WithTimeout(ctx, bound+maxFreeze)
	defer cancel()
	began := worker.Now()
	res := s.exchange(ctx, entry, c)
	res.At, res.Duration, res.MaxDuration = began, worker.Now()-began, bound
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

// transportFailure names the outcome of a call that ended in a transport error. The error
// alone does not tell whether anything was sent: the HTTP client sends a GET
// again by itself when its connection breaks, and may then fail to connect.
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
