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

// scriptedTarget is a raw server: it reads requests, counts them by id, and lets a script
// write whatever bytes it likes.
type scriptedTarget struct {
	address       string
	mu            sync.Mutex
	requestCounts map[string]int
	conns         int
}

// newScriptedTarget answers the nth request of a connection with script(n); an empty
// string closes the connection without a word, "wait" keeps silent.
func newScriptedTarget(t *testing.T, script func(n int) string) *scriptedTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	tg := &scriptedTarget{address: l.Addr().String(), requestCounts: map[string]int{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			tg.mu.Lock()
			tg.conns++
			tg.mu.Unlock()
			go tg.serve(c, script)
		}
	}()
	return tg
}

func (tg *scriptedTarget) serve(c net.Conn, script func(n int) string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		tg.mu.Lock()
		tg.requestCounts[req.Header.Get(RequestIDHeader)]++
		tg.mu.Unlock()
		answer := script(n)
		if answer == "wait" {
			_, _ = r.Peek(1)
			return
		}
		if _, err := io.WriteString(c, answer); err != nil || answer != completeResponse && answer != mismatchedResponse {
			return
		}
	}
}

func (tg *scriptedTarget) requestCount(id string) int {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	return tg.requestCounts[id]
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

// Symptom: one attempt is charged twice, and the agent knows of one.
// Sequence: a connection is reused; the target reads the request, runs it, and the
// connection breaks before the answer; net/http sends the request again by itself.
// Cause: it takes requests without a body, or with an idempotency key, as safe to repeat.
func TestReusedConnection(t *testing.T) {
	for _, test := range []struct{ method, body string }{
		{"GET", ""}, {"HEAD", ""}, {"OPTIONS", ""}, {"POST", ""}, {"DELETE", ""}, {"PUT", "b"}, {"GET", "b"},
	} {
		tg := newScriptedTarget(t, func(n int) string {
			if n == 1 {
				return completeResponse
			}
			return ""
		})
		f := New(1 << 20)
		if v := f.Do(t.Context(), newAttempt(tg.address, "first", "GET", "")); v.Outcome != apiv1.Outcome_OUTCOME_ANSWERED {
			t.Fatalf("%v: first request: %v", test, v)
		}
		v := f.Do(t.Context(), newAttempt(tg.address, "second", test.method, test.body))
		if n := tg.requestCount("second"); n != 1 {
			t.Errorf("%v: target got the attempt %d times", test, n)
		}
		if v.Outcome != apiv1.Outcome_OUTCOME_UNKNOWN {
			t.Errorf("%v: %v", test, v)
		}
		f.Close()
	}
}

// Symptom: a caller gets part of an answer, another's answer, or a "not run" that is false.
// Sequence: each case is what a target does with the connection, and the only true outcome.
// Cause: an answer that is passed on without a look at its end or its request id, or a
// broken connection that is taken for one on which nothing arrived.
func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		answer  string
		outcome apiv1.Outcome
		reason  apiv1.Reason
	}{
		"whole":           {completeResponse, apiv1.Outcome_OUTCOME_ANSWERED, 0},
		"failed":          {"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nok", apiv1.Outcome_OUTCOME_FAILED, 0},
		"truncated":       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", apiv1.Outcome_OUTCOME_UNKNOWN, apiv1.Reason_REASON_BROKEN_ANSWER},
		"chunk cut":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", apiv1.Outcome_OUTCOME_UNKNOWN, apiv1.Reason_REASON_BROKEN_ANSWER},
		"chunks whole":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", apiv1.Outcome_OUTCOME_ANSWERED, 0},
		"length unstated": {"HTTP/1.1 200 OK\r\n\r\nok", apiv1.Outcome_OUTCOME_UNKNOWN, apiv1.Reason_REASON_BROKEN_ANSWER},
		"too large":       {"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + strings.Repeat("x", 200), apiv1.Outcome_OUTCOME_UNKNOWN, apiv1.Reason_REASON_BROKEN_ANSWER},
		"other's answer":  {mismatchedResponse, apiv1.Outcome_OUTCOME_UNKNOWN, apiv1.Reason_REASON_WRONG_ANSWER},
		"not HTTP":        {"hello", apiv1.Outcome_OUTCOME_UNKNOWN, apiv1.Reason_REASON_BROKEN_ANSWER},
		"switching":       {"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", apiv1.Outcome_OUTCOME_UNKNOWN, apiv1.Reason_REASON_BROKEN_ANSWER},
		"silent":          {"wait", apiv1.Outcome_OUTCOME_UNKNOWN, apiv1.Reason_REASON_DEADLINE},
	}
	for name, test := range tests {
		tg := newScriptedTarget(t, func(int) string { return test.answer })
		f := New(100)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		if test.answer == "wait" {
			ctx, cancel = context.WithTimeout(t.Context(), 50*time.Millisecond)
		}
		v := f.Do(ctx, newAttempt(tg.address, "r", "POST", "b"))
		cancel()
		if v.Outcome != test.outcome || v.Reason != test.reason || (v.Response != nil) != (test.reason == 0) {
			t.Errorf("%s: %v %v %s", name, v.Outcome, v.Reason, v.Message)
		}
		f.Close()
	}
}

// Symptom: a request that could have run elsewhere is answered "unknown". Sequence: the
// connection is refused, the time is up, the entry is gone or the request can't be
// encoded, all before its first byte is sent. Cause: a failure before the sending is
// not told from one after; "not run" is right only when not a byte was sent.
func TestNothingSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := l.Addr().String()
	_ = l.Close()
	past, cancel := context.WithDeadline(t.Context(), time.Unix(1, 0))
	defer cancel()
	gone, giveUp := context.WithCancel(t.Context())
	giveUp()
	bad := newAttempt(closed, "r", "POST", "b")
	bad.Request.Headers = []*apiv1.Header{{Name: "x", Values: []string{"a\nb"}}}
	tests := map[string]struct {
		ctx     context.Context
		attempt Attempt
		reason  apiv1.Reason
	}{
		"refused":    {t.Context(), newAttempt(closed, "r", "POST", "b"), apiv1.Reason_REASON_TARGET_UNREACHABLE},
		"late":       {past, newAttempt(closed, "r", "POST", "b"), apiv1.Reason_REASON_DEADLINE},
		"canceled":   {gone, newAttempt(closed, "r", "GET", ""), apiv1.Reason_REASON_CANCELED},
		"trace":      {t.Context(), newAttempt(closed, "r", "TRACE", ""), apiv1.Reason_REASON_BAD_REQUEST},
		"bad header": {t.Context(), bad, apiv1.Reason_REASON_BAD_REQUEST},
	}
	for name, test := range tests {
		v := New(100).Do(test.ctx, test.attempt)
		if v.Outcome != apiv1.Outcome_OUTCOME_NOT_RUN || v.Reason != test.reason {
			t.Errorf("%s: %v %v %s", name, v.Outcome, v.Reason, v.Message)
		}
	}
}

// Symptom: after an answer that belongs to another request, the next request gets
// the answer of the one before it. Sequence: each answer names another request.
// Cause: the connection whose answers are out of step is used again.
func TestConnectionAfterWrongAnswer(t *testing.T) {
	tg := newScriptedTarget(t, func(int) string { return mismatchedResponse })
	f := New(100)
	defer f.Close()
	for i := range 3 {
		f.Do(t.Context(), newAttempt(tg.address, fmt.Sprint(i), "POST", "b"))
	}
	tg.mu.Lock()
	defer tg.mu.Unlock()
	if tg.conns != 3 {
		t.Fatalf("3 answers out of step on %d connections", tg.conns)
	}
}

// Symptom: a target waits for a body that does not come, or takes a forged request id
// for the agent's. Sequence: the caller sends fields that concern its own connection,
// a wrong length and an id. Cause: fields passed on that are the agent's to set.
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
