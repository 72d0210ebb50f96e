package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/agent/gate"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// scriptedTarget is a TCP server that reads HTTP requests, counts them by request ID, and
// responds with the bytes that a script returns.
type scriptedTarget struct {
	address       string
	mu            sync.Mutex
	requestCounts map[string]int
	conns         int
}

// newScriptedTarget answers the nth request of a connection with script(n); an empty string
// closes the connection without a response, "wait" keeps it open without one.
func newScriptedTarget(t *testing.T, script func(n int) string) *scriptedTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	target := &scriptedTarget{address: l.Addr().String(), requestCounts: map[string]int{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			target.mu.Lock()
			target.conns++
			target.mu.Unlock()
			go target.serve(c, script)
		}
	}()
	return target
}

func (target *scriptedTarget) serve(c net.Conn, script func(n int) string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		target.mu.Lock()
		target.requestCounts[req.Header.Get(RequestIDHeader)]++
		target.mu.Unlock()
		response := script(n)
		if response == "wait" {
			_, _ = r.Peek(1)
			return
		}
		if _, err := io.WriteString(c, response); err != nil || response != completeResponse && response != mismatchedResponse {
			return
		}
	}
}

func (target *scriptedTarget) requestCount(id string) int {
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.requestCounts[id]
}

const (
	completeResponse   = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	mismatchedResponse = "HTTP/1.1 200 OK\r\nCairnlift-Request-Id: other\r\nContent-Length: 0\r\n\r\n"
)

func newAttempt(address, id, method, body string) Attempt {
	return Attempt{Key: gate.Key{RequestID: id, Attempt: 1}, Address: address, Connections: 4, Request: &apiv1.HttpRequest{
		Method: method, Uri: "/x", Body: []byte(body),
		Headers: []*apiv1.Header{{Name: "idempotency-key", Values: []string{"k"}}},
	}}
}

// TestReusedConnection checks that the target gets each attempt once. On a reused connection
// that breaks after the target has read and run the request, net/http retries requests without
// a body or with an idempotency key, so the target would run one attempt twice and the agent
// would know of one run only.
func TestReusedConnection(t *testing.T) {
	for _, test := range []struct{ method, body string }{
		{"GET", ""}, {"HEAD", ""}, {"OPTIONS", ""}, {"POST", ""}, {"DELETE", ""}, {"PUT", "b"}, {"GET", "b"},
	} {
		target := newScriptedTarget(t, func(n int) string {
			if n == 1 {
				return completeResponse
			}
			return ""
		})
		f := New(1 << 20)
		if v := f.Do(t.Context(), newAttempt(target.address, "first", "GET", "")); v.Outcome != apiv1.Outcome_OUTCOME_ANSWERED {
			t.Fatalf("%v: first request: %v", test, v)
		}
		v := f.Do(t.Context(), newAttempt(target.address, "second", test.method, test.body))
		if n := target.requestCount("second"); n != 1 {
			t.Errorf("%v: target received the attempt %d times", test, n)
		}
		if v.Outcome != apiv1.Outcome_OUTCOME_UNKNOWN {
			t.Errorf("%v: %v", test, v)
		}
		f.Close()
	}
}

// TestOutcomes checks the outcome for each way in which a target may use the connection. It
// guards against returning a truncated response or the response to another request, because
// its end or its request ID is not checked, and against reporting "not run" for a request that
// reached the target before the connection broke.
func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		response string
		outcome  apiv1.Outcome
		reason   apiv1.Reason
	}{
		"complete":        {completeResponse, apiv1.Outcome_OUTCOME_ANSWERED, 0},
		"failed":          {"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nok", apiv1.Outcome_OUTCOME_FAILED, 0},
		"truncated":       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", apiv1.Outcome_OUTCOME_UNKNOWN, apiv1.Reason_REASON_BROKEN_ANSWER},
		"chunk cut":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", apiv1.Outcome_OUTCOME_UNKNOWN, apiv1.Reason_REASON_BROKEN_ANSWER},
		"chunks complete": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", apiv1.Outcome_OUTCOME_ANSWERED, 0},
		"no length":       {"HTTP/1.1 200 OK\r\n\r\nok", apiv1.Outcome_OUTCOME_UNKNOWN, apiv1.Reason_REASON_BROKEN_ANSWER},
		"too large":       {"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + strings.Repeat("x", 200), apiv1.Outcome_OUTCOME_UNKNOWN, apiv1.Reason_REASON_BROKEN_ANSWER},
		"wrong response":  {mismatchedResponse, apiv1.Outcome_OUTCOME_UNKNOWN, apiv1.Reason_REASON_WRONG_ANSWER},
		"not HTTP":        {"hello", apiv1.Outcome_OUTCOME_UNKNOWN, apiv1.Reason_REASON_BROKEN_ANSWER},
		"switching":       {"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", apiv1.Outcome_OUTCOME_UNKNOWN, apiv1.Reason_REASON_BROKEN_ANSWER},
		"no response":     {"wait", apiv1.Outcome_OUTCOME_UNKNOWN, apiv1.Reason_REASON_DEADLINE},
	}
	for name, test := range tests {
		target := newScriptedTarget(t, func(int) string { return test.response })
		f := New(100)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		if test.response == "wait" {
			ctx, cancel = context.WithTimeout(t.Context(), 50*time.Millisecond)
		}
		v := f.Do(ctx, newAttempt(target.address, "r", "POST", "b"))
		cancel()
		if v.Outcome != test.outcome || v.Reason != test.reason || (v.Response != nil) != (test.reason == 0) {
			t.Errorf("%s: %v %v %s", name, v.Outcome, v.Reason, v.Message)
		}
		f.Close()
	}
}

// TestNothingSent checks that an attempt of which no byte was sent is reported as not run:
// the connection is refused, the deadline has passed, the dispatch is canceled, or the request
// can't be encoded. Reported as unknown, it could not be retried on another target.
func TestNothingSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := l.Addr().String()
	_ = l.Close()
	past, cancel := context.WithDeadline(t.Context(), time.Unix(1, 0))
	defer cancel()
	canceled, cancelDispatch := context.WithCancel(t.Context())
	cancelDispatch()
	badHeader := newAttempt(closed, "r", "POST", "b")
	badHeader.Request.Headers = []*apiv1.Header{{Name: "x", Values: []string{"a\nb"}}}
	tests := map[string]struct {
		ctx     context.Context
		attempt Attempt
		reason  apiv1.Reason
	}{
		"refused":    {t.Context(), newAttempt(closed, "r", "POST", "b"), apiv1.Reason_REASON_TARGET_UNREACHABLE},
		"late":       {past, newAttempt(closed, "r", "POST", "b"), apiv1.Reason_REASON_DEADLINE},
		"canceled":   {canceled, newAttempt(closed, "r", "GET", ""), apiv1.Reason_REASON_CANCELED},
		"trace":      {t.Context(), newAttempt(closed, "r", "TRACE", ""), apiv1.Reason_REASON_BAD_REQUEST},
		"bad header": {t.Context(), badHeader, apiv1.Reason_REASON_BAD_REQUEST},
	}
	for name, test := range tests {
		v := New(100).Do(test.ctx, test.attempt)
		if v.Outcome != apiv1.Outcome_OUTCOME_NOT_RUN || v.Reason != test.reason {
			t.Errorf("%s: %v %v %s", name, v.Outcome, v.Reason, v.Message)
		}
	}
}

// TestConnectionAfterWrongAnswer checks that a connection is not reused after a response that
// names another request. Its responses are out of step, so the next request would get the
// response to the previous one.
func TestConnectionAfterWrongAnswer(t *testing.T) {
	target := newScriptedTarget(t, func(int) string { return mismatchedResponse })
	f := New(100)
	defer f.Close()
	for i := range 3 {
		f.Do(t.Context(), newAttempt(target.address, fmt.Sprint(i), "POST", "b"))
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	if target.conns != 3 {
		t.Fatalf("3 mismatched responses on %d connections", target.conns)
	}
}

// TestHeaders checks that the agent does not forward header fields that it sets itself or that
// apply to the caller's connection. Otherwise a target waits for a body that does not arrive,
// or accepts a forged request ID.
func TestHeaders(t *testing.T) {
	h := requestHeader("id", 7, []*apiv1.Header{
		{Name: "connection", Values: []string{"x-hop, close"}},
		{Name: "X-Hop", Values: []string{"1"}},
		{Name: "transfer-encoding", Values: []string{"chunked"}},
		{Name: "cairnlift-request-id", Values: []string{"forged"}},
		{Name: "Content-Length", Values: []string{"999"}},
		{Name: "Accept", Values: []string{"a", "b"}},
	})
	got := fmt.Sprint(h)
	if want := "map[Accept:[a b] Cairnlift-Attempt:[7] Cairnlift-Request-Id:[id] User-Agent:[]]"; got != want {
		t.Fatalf("got %s, want %s", got, want)
	}
}
