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

// Defaults of ClientOptions.
const (
	defaultDialTimeout    = 2 * time.Second
	defaultAttemptTimeout = 20 * time.Second
	defaultMinBackoff     = 100 * time.Millisecond
	defaultMaxBackoff     = 3 * time.Second
)

// ClientOptions are what a client is made from.
type ClientOptions struct {
	// Addresses are the admin addresses of entries, IP and port.
	Addresses []string
	// AttemptTimeout bounds one attempt; the context bounds all of them.
	AttemptTimeout time.Duration
	// MinBackoff and MaxBackoff bound the pause between rounds of attempts.
	MinBackoff, MaxBackoff time.Duration
	// Transport sends the requests; one without proxies when nil.
	Transport http.RoundTripper
}

// Client speaks to the API through any of several entries. It goes on to the
// next entry, and around again until the context ends, when one can't be reached
// or says to come back. Its errors are *Error, *UnavailableError and
// *UnknownOutcomeError.
type Client struct {
	options ClientOptions
	http    *http.Client
	// nextEntry is the entry that answered last; it is asked first.
	nextEntry int
}

// NewClient makes a client. A Client must not be used concurrently.
func NewClient(o ClientOptions) (*Client, error) {
	if len(o.Addresses) == 0 {
		return nil, errors.New("the address of an entry is needed")
	}
	o.AttemptTimeout = cmp.Or(o.AttemptTimeout, defaultAttemptTimeout)
	o.MinBackoff = cmp.Or(o.MinBackoff, defaultMinBackoff)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, defaultMaxBackoff)
	if o.Transport == nil {
		// A host that is cut off in silence must not use up the attempt's time.
		o.Transport = &http.Transport{DialContext: (&net.Dialer{Timeout: defaultDialTimeout}).DialContext}
	}
	return &Client{options: o, http: &http.Client{Transport: o.Transport}}, nil
}

// NewSubmissionID returns a random submission id.
func NewSubmissionID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails, as its documentation says
	return hex.EncodeToString(b[:])
}

// Submit submits a text. Every attempt carries the same submission id, so that
// a resend after a lost answer gets the first answer and changes nothing.
func (c *Client) Submit(ctx context.Context, r SubmitRequest) (*SubmitResponse, error) {
	return call[SubmitResponse](ctx, c, writeOperation(http.MethodPost, "/v1/submissions", r))
}

// Validate checks a text against the system's current configuration.
func (c *Client) Validate(ctx context.Context, text string) (*ValidateResponse, error) {
	return call[ValidateResponse](ctx, c, operation{method: http.MethodPost, path: "/v1/validations", body: ValidateRequest{Text: text}})
}

// Configuration returns the newest configuration.
func (c *Client) Configuration(ctx context.Context) (*Configuration, error) {
	return call[Configuration](ctx, c, readOperation("/v1/configuration", nil))
}

// Watch waits for a configuration that is newer than a version.
func (c *Client) Watch(ctx context.Context, after uint64, wait time.Duration) (*WatchResponse, error) {
	q := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	op := readOperation("/v1/watch", q)
	op.serverWait = wait
	return call[WatchResponse](ctx, c, op)
}

// Status returns sections of the status, all of them when none is named.
func (c *Client) Status(ctx context.Context, sections ...string) (*Status, error) {
	q := url.Values{}
	if len(sections) > 0 {
		q.Set("sections", strings.Join(sections, ","))
	}
	return call[Status](ctx, c, readOperation("/v1/status", q))
}

// Explain tells why a job stands where it does.
func (c *Client) Explain(ctx context.Context, job string) (*Explanation, error) {
	return call[Explanation](ctx, c, readOperation("/v1/jobs/"+url.PathEscape(job)+"/explanation", nil))
}

// Drain makes a worker or a target leave, or ends that.
func (c *Client) Drain(ctx context.Context, r DrainRequest) (*DrainResponse, error) {
	return call[DrainResponse](ctx, c, writeOperation(http.MethodPost, "/v1/drains", r))
}

// Cancel ends jobs.
func (c *Client) Cancel(ctx context.Context, r CancelRequest) (*CancelResponse, error) {
	return call[CancelResponse](ctx, c, writeOperation(http.MethodPost, "/v1/cancellations", r))
}

// Members returns the control group.
func (c *Client) Members(ctx context.Context) (*MemberList, error) {
	return call[MemberList](ctx, c, readOperation("/v1/members", nil))
}

// AddMember takes a replica into the control group.
func (c *Client) AddMember(ctx context.Context, m Member) (*MemberList, error) {
	return call[MemberList](ctx, c, writeOperation(http.MethodPost, "/v1/members", m))
}

// RemoveMember takes a replica out of the control group.
func (c *Client) RemoveMember(ctx context.Context, name string) (*MemberList, error) {
	return call[MemberList](ctx, c, writeOperation(http.MethodDelete, "/v1/members/"+url.PathEscape(name), nil))
}

// Decisions returns recent routing and placement decisions of the asked entry.
func (c *Client) Decisions(ctx context.Context, q DecisionQuery) (*DecisionList, error) {
	values := url.Values{"limit": {strconv.Itoa(q.Limit)}, "part": {q.Part}, "subject": {q.Subject}}
	return call[DecisionList](ctx, c, readOperation("/v1/decisions", values))
}
