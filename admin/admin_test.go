package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/spec"
	"github.com/cairnlift/cairnlift/state"
)

// fakeBackend applies commands to a real state machine and answers the rest with
// what the test put in.
type fakeBackend struct {
	Backend
	machine  *state.Machine
	index    uint64
	proposed int
	last     *apiv1.Command
	changed  chan struct{}
	err      error
}

func newFakeBackend() *fakeBackend {
	return &fakeBackend{machine: state.New(), changed: make(chan struct{})}
}

func (b *fakeBackend) Propose(_ context.Context, cmd *apiv1.Command) (*apiv1.Result, error) {
	if b.err != nil {
		return nil, b.err
	}
	b.proposed++
	b.last = cmd
	b.index++
	return b.machine.Apply(b.index, cmd), nil
}

func (b *fakeBackend) Configuration() *apiv1.Configuration { return b.machine.Configuration() }
func (b *fakeBackend) Changed() <-chan struct{}            { return b.changed }
func (b *fakeBackend) Ready() error                        { return b.err }
func (b *fakeBackend) Status(context.Context, []string) (*Status, error) {
	return &Status{Entry: "a"}, b.err
}

const testText = "[[job]]\nname = \"renewal\"\nsize = { processors = 1, memory = \"1GB\" }\nexpected_run = \"1h\"\n"

func submissionBody(id string, base uint64, text string) string {
	body, err := json.Marshal(SubmitRequest{SubmissionID: id, BaseVersion: base, Text: text, Operator: "ann"})
	if err != nil {
		panic(err)
	}
	return string(body)
}

func doRequest(t *testing.T, h http.Handler, method, path, contentType, body string) (int, *Error, http.Header) {
	t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Content-Type", contentType)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	var answer errorResponse
	_ = json.Unmarshal(w.Body.Bytes(), &answer) // text and successes hold no error
	return w.Code, answer.Error, w.Header()
}

// Each bad request has its status, code and message, proposes nothing and leaves
// the version as it was.
func TestBadRequestsChangeNothing(t *testing.T) {
	b := newFakeBackend()
	h := Handler(b, metrics.NewRegistry())
	if status, e, _ := doRequest(t, h, "POST", "/v1/submissions", jsonContentType, submissionBody("first", 0, testText)); status != http.StatusOK {
		t.Fatal(status, e)
	}
	proposed := b.proposed
	const cancel = `{"operator":"ann","jobs":["renewal","x"]}`
	for _, c := range []struct {
		name, method, path, contentType, body string
		status                                int
		code                                  Code
		message                               string
	}{
		{"no such path", "GET", "/v1/nothing", "", "", 404, CodeNotFound, "GET"},
		{"no such method", "PUT", "/v1/submissions", jsonContentType, "{}", 404, CodeNotFound, "PUT"},
		{"content type", "POST", "/v1/submissions", "text/plain", submissionBody("b", 1, testText), 400, CodeBadRequest, "Content-Type"},
		{"broken content type", "POST", "/v1/submissions", "application/json; =", "{}", 400, CodeBadRequest, "Content-Type"},
		{"not JSON", "POST", "/v1/submissions", jsonContentType, "{", 400, CodeBadRequest, "JSON"},
		{"unknown field", "POST", "/v1/submissions", jsonContentType, `{"txt":""}`, 400, CodeBadRequest, "txt"},
		{"two values", "POST", "/v1/submissions", jsonContentType, submissionBody("b", 1, testText) + "{}", 400, CodeBadRequest, "goes on"},
		{"negative version", "POST", "/v1/submissions", jsonContentType, `{"base_version":-1}`, 400, CodeBadRequest, "base_version"},
		{"huge body", "POST", "/v1/submissions", jsonContentType, strings.Repeat(" ", maxTextBodyBytes+1), 413, CodeTooLarge, "allowed"},
		{"huge text", "POST", "/v1/submissions", jsonContentType, submissionBody("b", 1, strings.Repeat("#", spec.MaxTextBytes+1)), 413, CodeTooLarge, "text has"},
		{"no id", "POST", "/v1/submissions", jsonContentType, submissionBody("", 1, testText), 422, CodeInvalid, "submission_id is required"},
		{"long id", "POST", "/v1/submissions", jsonContentType, submissionBody(strings.Repeat("x", 257), 1, testText), 422, CodeInvalid, "256 bytes"},
		{"unprintable id", "POST", "/v1/submissions", jsonContentType, submissionBody("a\nb", 1, testText), 422, CodeInvalid, "printed"},
		{"bad text", "POST", "/v1/submissions", jsonContentType, submissionBody("b", 1, testText+"x = 1\n"), 422, CodeInvalid, "not valid"},
		{"huge other body", "POST", "/v1/cancellations", jsonContentType, strings.Repeat(" ", maxBodyBytes+1), 413, CodeTooLarge, "allowed"},
		{"no jobs", "POST", "/v1/cancellations", jsonContentType, `{"operator":"ann"}`, 422, CodeInvalid, "between 1"},
		{"unknown job", "POST", "/v1/cancellations", jsonContentType, cancel, 404, CodeNotFound, `no job "x"`},
		{"drain kind", "POST", "/v1/drains", jsonContentType, `{"name":"w","kind":"rack"}`, 422, CodeInvalid, "worker or target"},
		{"member address", "POST", "/v1/members", jsonContentType, `{"name":"m","address":"m.local:7400"}`, 422, CodeInvalid, "IP number"},
		{"limit", "GET", "/v1/decisions?limit=-3", "", "", 400, CodeBadRequest, "limit"},
		{"wait", "GET", "/v1/watch?wait=1h", "", "", 400, CodeBadRequest, "wait"},
		{"section", "GET", "/v1/status?sections=jobs,racks", "", "", 400, CodeBadRequest, "racks"},
	} {
		t.Run(c.name, func(t *testing.T) {
			status, e, _ := doRequest(t, h, c.method, c.path, c.contentType, c.body)
			if status != c.status || e == nil || e.Code != c.code || !strings.Contains(e.Message, c.message) {
				t.Errorf("status %d, %v", status, e)
			}
			if c.name == "bad text" && (len(e.Problems) != 1 || e.Problems[0].Line != 5) {
				t.Errorf("problems %v", e.Problems)
			}
			if v := b.Configuration().GetVersion(); b.proposed != proposed || v != 1 {
				t.Errorf("%d commands proposed, version %d", b.proposed-proposed, v)
			}
		})
	}
}

// Two operators submit from the same version: the first wins, the other is told
// the winner. A submission id that comes back gets its first answer, with another
// text it is refused, and none of this makes a version. A text made from the
// version here goes to the log by delta and reads back as submitted; one made from
// a version that has passed goes as its digest, and is answered the same.
func TestSubmissionVersions(t *testing.T) {
	b := newFakeBackend()
	h := Handler(b, metrics.NewRegistry())
	for i, c := range []struct {
		id      string
		base    uint64
		text    string
		status  int
		version uint64
		message string
	}{
		{"ann-1", 0, testText, 200, 1, ""},
		{"bob-1", 0, testText + "# bob\n", 409, 1, "ann-1"},
		{"ann-1", 0, testText, 200, 1, ""},
		{"ann-1", 1, testText + "# other\n", 422, 1, "another text"},
		{"bob-1", 0, testText + "# bob\n", 409, 1, "ann-1"},
		{"bob-2", 1, testText + "# bob\n", 200, 2, ""},
	} {
		status, e, _ := doRequest(t, h, "POST", "/v1/submissions", jsonContentType, submissionBody(c.id, c.base, c.text))
		if status != c.status || b.Configuration().GetVersion() != c.version {
			t.Errorf("step %d: status %d, %v, version %d", i, status, e, b.Configuration().GetVersion())
		}
		if e != nil && !strings.Contains(e.Message+e.Winner, c.message) {
			t.Errorf("step %d: %v", i, e)
		}
		if status == http.StatusOK && b.Configuration().GetText() != c.text && c.base+1 == c.version {
			t.Errorf("step %d: text %q", i, b.Configuration().GetText())
		}
		if last := b.last.GetSubmit(); (last.Delta != nil) != (i > 0) || (last.Delta == nil) == (last.Configuration == nil) {
			t.Errorf("step %d: submitted as %v", i, last)
		}
	}
}

// What the control group can't do is told with the time to come back; what may
// have been done is never called "not done".
func TestBackendErrorStatus(t *testing.T) {
	for _, c := range []struct {
		err        error
		status     int
		code       Code
		retryAfter string
	}{
		{&control.UnavailableError{RetryAfter: 1200 * time.Millisecond, Cause: "no leader"}, 503, CodeUnavailable, "2"},
		{errors.Wrap(&control.UnknownError{Cause: "leader lost"}, "propose"), 504, CodeUnknownOutcome, ""},
		{io.ErrUnexpectedEOF, 504, CodeUnknownOutcome, ""},
		{Errorf(CodeNotFound, "gone"), 404, CodeNotFound, ""},
	} {
		b := newFakeBackend()
		b.err = c.err
		h := Handler(b, metrics.NewRegistry())
		status, e, header := doRequest(t, h, "POST", "/v1/submissions", jsonContentType, submissionBody("a", 0, testText))
		if status != c.status || e.Code != c.code || header.Get("Retry-After") != c.retryAfter {
			t.Errorf("%v: status %d, %v, Retry-After %q", c.err, status, e, header.Get("Retry-After"))
		}
		if status, _, _ := doRequest(t, h, "GET", "/readyz", "", ""); status != http.StatusServiceUnavailable {
			t.Errorf("%v: readyz %d", c.err, status)
		}
	}
}

// More requests than the bound are refused at once, and watches don't count.
func TestConcurrencyLimit(t *testing.T) {
	h := &handler{backend: newFakeBackend(), requestSlots: make(chan struct{}, 1), watchSlots: make(chan struct{}, 1)}
	h.requestSlots <- struct{}{}
	w := httptest.NewRecorder()
	withLimits(h.requestSlots, h.status)(w, httptest.NewRequest("GET", "/v1/status", nil), nil)
	if w.Code != http.StatusTooManyRequests || w.Header().Get("Retry-After") != "1" {
		t.Errorf("status %d, %v", w.Code, w.Header())
	}
	w = httptest.NewRecorder()
	h.watch(w, httptest.NewRequest("GET", "/v1/watch?wait=0s", nil), nil)
	if w.Code != http.StatusOK {
		t.Errorf("watch: status %d", w.Code)
	}
}

func startServer(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func newTestClient(t *testing.T, addresses ...string) *Client {
	t.Helper()
	c, err := NewClient(ClientOptions{Addresses: addresses, MinBackoff: time.Millisecond, MaxBackoff: 2 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.http.CloseIdleConnections)
	return c
}

// refusingAddress refuses connections.
func refusingAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() //nolint:errcheck // nothing was accepted
	return l.Addr().String()
}

// Symptom: an operator who resends after a lost answer makes two versions, or is
// told of a conflict with their own text. Sequence: the entry commits the
// submission, the connection breaks before the answer, the client resends to the
// other entry. Cause: a resend under a new submission id.
func TestClientRetriesWithSameSubmissionID(t *testing.T) {
	b := newFakeBackend()
	api := Handler(b, metrics.NewRegistry())
	losesAnswer := startServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		api.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	c := newTestClient(t, refusingAddress(t), losesAnswer, startServer(t, api))
	got, err := c.Submit(t.Context(), SubmitRequest{SubmissionID: "ann-1", Text: testText, Operator: "ann"})
	if err != nil {
		t.Fatal(err)
	}
	if b.proposed != 2 || got.Version != 1 || !got.Repeated || b.Configuration().GetVersion() != 1 {
		t.Errorf("%d commands, answer %+v, version %d", b.proposed, got, b.Configuration().GetVersion())
	}
}

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// cancelAfterResponses returns a context that ends when the client got its n-th answer.
func cancelAfterResponses(t *testing.T, c *Client, n int) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	transport := &http.Transport{DisableKeepAlives: true}
	c.http.Transport = roundTripFunc(func(r *http.Request) (*http.Response, error) {
		resp, err := transport.RoundTrip(r)
		if n--; n == 0 {
			// The body of an answer has to be read before its context may end.
			if err != nil {
				cancel()
				return nil, err
			}
			body, err := io.ReadAll(resp.Body)
			cancel()
			if err != nil {
				return nil, err
			}
			resp.Body = io.NopCloser(bytes.NewReader(body))
		}
		return resp, err
	})
	return ctx
}

// When time runs out, a change is "not done" only if no attempt can have reached
// the system; after one lost answer it stays unknown. A read is never in doubt.
func TestClientTimeoutOutcome(t *testing.T) {
	lost := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	cut := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write(bytes.Repeat([]byte(" "), 50))
	})
	unavailable := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, &Error{Code: CodeUnavailable, RetryAfterMs: 1})
	})
	unknown := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, &Error{Code: CodeUnknownOutcome})
	})
	for _, c := range []struct {
		name     string
		handlers []http.Handler
		unknown  bool
	}{
		{"refused connections", nil, false},
		{"no quorum", []http.Handler{unavailable}, false},
		{"lost answer", []http.Handler{lost, unavailable}, true},
		{"cut answer", []http.Handler{cut}, true},
		{"leader lost", []http.Handler{unavailable, unknown}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			addresses := []string{refusingAddress(t)}
			for _, h := range c.handlers {
				addresses = append(addresses, startServer(t, h))
			}
			client := newTestClient(t, addresses...)
			_, err := client.Cancel(cancelAfterResponses(t, client, 2*len(addresses)), CancelRequest{Jobs: []string{"a"}, Operator: "ann"})
			if got := errors.HasType(err, (*UnknownOutcomeError)(nil)); got != c.unknown || err == nil {
				t.Errorf("unknown %v: %v", got, err)
			}
			_, err = client.Status(cancelAfterResponses(t, client, 2*len(addresses)))
			if !errors.HasType(err, (*UnavailableError)(nil)) {
				t.Errorf("read: %v", err)
			}
		})
	}
}

// A watcher that knows the newest version is answered by the next change.
func TestWatchReportsNewVersion(t *testing.T) {
	b := newFakeBackend()
	c := newTestClient(t, startServer(t, Handler(b, metrics.NewRegistry())))
	if got, err := c.Watch(t.Context(), 0, 0); err != nil || got.Changed {
		t.Fatal(got, err)
	}
	if _, err := c.Submit(t.Context(), SubmitRequest{SubmissionID: "a", Text: testText, Operator: "ann"}); err != nil {
		t.Fatal(err)
	}
	close(b.changed)
	got, err := c.Watch(t.Context(), 0, maxWatchWait)
	if err != nil || !got.Changed || got.Version != 1 || got.Digest != spec.Digest([]byte(testText)) {
		t.Error(got, err)
	}
}

// Headers beyond the bound are refused before the handler sees the request.
func TestServerRefusesHugeHeaders(t *testing.T) {
	s := httptest.NewUnstartedServer(nil)
	s.Config = NewServer("", Handler(newFakeBackend(), metrics.NewRegistry()))
	s.Start()
	t.Cleanup(s.Close)
	for size, want := range map[int]int{1 << 10: http.StatusOK, 64 << 10: http.StatusRequestHeaderFieldsTooLarge} {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL+"/livez", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("X-Filler", strings.Repeat("x", size))
		resp, err := s.Client().Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close() //nolint:errcheck // only the status counts
		if resp.StatusCode != want {
			t.Errorf("header of %d bytes: status %d", size, resp.StatusCode)
		}
	}
}
