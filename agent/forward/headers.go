package forward

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// RequestIDHeader carries the request ID to the target. If the target echoes it, the
	// agent can detect a response that belongs to another request.
	RequestIDHeader = "Cairnlift-Request-Id"
	// AttemptHeader carries the attempt number to the target.
	AttemptHeader = "Cairnlift-Attempt"
)

// hopByHop lists the header fields that apply to a single connection (RFC 9110, section
// 7.6.1), and Expect, whose handshake ends at the agent.
var hopByHop = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func stripHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// requestHeader returns the header fields that are sent to the target.
func requestHeader(id string, attempt uint32, fields []*apiv1.Header) http.Header {
	h := make(http.Header, len(fields)+3)
	for _, f := range fields {
		name := http.CanonicalHeaderKey(f.Name)
		h[name] = append(h[name], f.Values...)
	}
	stripHopByHop(h)
	h.Del("Content-Length") // net/http sets it to the length of the body.
	h.Del("Host")
	h.Set(RequestIDHeader, id)
	h.Set(AttemptHeader, strconv.FormatUint(uint64(attempt), 10))
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "") // Prevents net/http from adding its own.
	}
	hideIdempotencyKey(h)
	return h
}

// hideIdempotencyKey writes the field name of the idempotency key in lower case. Field names
// are case-insensitive for the target, but net/http looks for the canonical form and, if it
// finds it, retries a request without a body after a reused connection has broken. The target
// would run the request twice for one attempt.
func hideIdempotencyKey(h http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}

func hostHeader(fields []*apiv1.Header) string {
	for _, f := range fields {
		if strings.EqualFold(f.Name, "Host") && len(f.Values) > 0 {
			return f.Values[0]
		}
	}
	return ""
}

// responseHeaders returns the header fields without those of the connection to the target. It
// keeps the length for HEAD only, where it is the length of the response to GET.
func responseHeaders(method string, h http.Header) []*apiv1.Header {
	stripHopByHop(h)
	if method != http.MethodHead {
		h.Del("Content-Length")
	}
	fields := make([]*apiv1.Header, 0, len(h))
	for name, values := range h {
		fields = append(fields, &apiv1.Header{Name: name, Values: values})
	}
	return fields
}
