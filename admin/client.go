package admin

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults of ClientOptions and of its Transport.
const (
	defaultDialTimeout    = 2 * time.Second
	defaultAttemptTimeout = 20 * time.Second
	defaultMinBackoff     = 100 * time.Millisecond
	defaultMaxBackoff     = 3 * time.Second
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// Addresses are the admin addresses of the entries, as IP:port. At least one is required.
	Addresses []string
	// AttemptTimeout limits one attempt; the context limits all attempts together.
	AttemptTimeout time.Duration
	// MinBackoff and MaxBackoff limit the delay between rounds of attempts. A round tries
	// every entry once.
	MinBackoff, MaxBackoff time.Duration
	// Transport sends the requests. If it is nil, a transport without proxies is used.
	Transport http.RoundTripper
}

// Client calls the API through any of several entries. If an entry is unreachable or
// unavailable, it retries with the next one, in rotation, until the context ends. Its errors are
// *Error, *UnavailableError and *UnknownOutcomeError.
type Client struct {
	options ClientOptions
	http    *http.Client
	// nextEntry is the index of the entry for the next attempt. It stays at the entry that
	// gave the last final response.
	nextEntry int
}

// NewClient returns a client, which must not be used concurrently.
func NewClient(o ClientOptions) (*Client, error) {
	if len(o.Addresses) == 0 {
		return nil, errors.New("at least one entry address is required")
	}
	o.AttemptTimeout = cmp.Or(o.AttemptTimeout, defaultAttemptTimeout)
	o.MinBackoff = cmp.Or(o.MinBackoff, defaultMinBackoff)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, defaultMaxBackoff)
	if o.Transport == nil {
		// Without this limit, connecting to a blackholed host would take the time of the
		// whole attempt.
		o.Transport = &http.Transport{DialContext: (&net.Dialer{Timeout: defaultDialTimeout}).DialContext}
	}
	return &Client{options: o, http: &http.Client{Transport: o.Transport}}, nil
}

// NewSubmissionID returns a random submission id.
func NewSubmissionID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // documented to never return an error
	return hex.EncodeToString(b[:])
}

// Submit submits a configuration text. Every attempt has the same submission id, so that a
// retry after a lost response gets the first response again and has no further effect.
func (c *Client) Submit(ctx context.Context, r SubmitRequest) (*SubmitResponse, error) {
	return call[SubmitResponse](ctx, c, writeOperation(http.MethodPost, "/v1/submissions", r))
}

// Validate checks a text and compares it with the current configuration of the system.
func (c *Client) Validate(ctx context.Context, text string) (*ValidateResponse, error) {
	return call[ValidateResponse](ctx, c, operation{method: http.MethodPost, path: "/v1/validations", body: ValidateRequest{Text: text}})
}

// Configuration returns the newest configuration.
func (c *Client) Configuration(ctx context.Context) (*Configuration, error) {
	return call[Configuration](ctx, c, readOperation("/v1/configuration", nil))
}

// Watch waits for a configuration that is newer than version after, at most for the given time.
func (c *Client) Watch(ctx context.Context, after uint64, wait time.Duration) (*WatchResponse, error) {
	q := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	op := readOperation("/v1/watch", q)
	op.serverWait = wait
	return call[WatchResponse](ctx, c, op)
}

// Status returns the given sections of the status, or all of them if none is given.
func (c *Client) Status(ctx context.Context, sections ...string) (*Status, error) {
	q := url.Values{}
	if len(sections) > 0 {
		q.Set("sections", strings.Join(sections, ","))
	}
	return call[Status](ctx, c, readOperation("/v1/status", q))
}

// Explain returns the reasons for the current state of a job.
func (c *Client) Explain(ctx context.Context, job string) (*Explanation, error) {
	return call[Explanation](ctx, c, readOperation("/v1/jobs/"+url.PathEscape(job)+"/explanation", nil))
}

// Drain starts or ends the drain of a worker or a target.
func (c *Client) Drain(ctx context.Context, r DrainRequest) (*DrainResponse, error) {
	return call[DrainResponse](ctx, c, writeOperation(http.MethodPost, "/v1/drains", r))
}

// Cancel cancels jobs.
func (c *Client) Cancel(ctx context.Context, r CancelRequest) (*CancelResponse, error) {
	return call[CancelResponse](ctx, c, writeOperation(http.MethodPost, "/v1/cancellations", r))
}

// Members returns the membership of the control group.
func (c *Client) Members(ctx context.Context) (*MemberList, error) {
	return call[MemberList](ctx, c, readOperation("/v1/members", nil))
}

// AddMember adds a replica to the control group.
func (c *Client) AddMember(ctx context.Context, m Member) (*MemberList, error) {
	return call[MemberList](ctx, c, writeOperation(http.MethodPost, "/v1/members", m))
}

// RemoveMember removes a replica from the control group.
func (c *Client) RemoveMember(ctx context.Context, name string) (*MemberList, error) {
	return call[MemberList](ctx, c, writeOperation(http.MethodDelete, "/v1/members/"+url.PathEscape(name), nil))
}

// Decisions returns recent routing and placement decisions of the entry that answers.
func (c *Client) Decisions(ctx context.Context, q DecisionQuery) (*DecisionList, error) {
	values := url.Values{"limit": {strconv.Itoa(q.Limit)}, "part": {q.Part}, "subject": {q.Subject}}
	return call[DecisionList](ctx, c, readOperation("/v1/decisions", values))
}
