package forward

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// RequestIDHeader carries the request id to the target. A target that echoes it
	// lets the agent detect an answer that belongs to another request.
	RequestIDHeader = "Cairnlift-Request-Id"
	// AttemptHeader carries the attempt number to the target.
	AttemptHeader = "Cairnlift-Attempt"
)

// hopByHop lists the fields that concern one connection only (RFC 9110, section
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

// requestHeader builds the header fields that the target sees.
func requestHeader(id string, attempt uint32, fields []*apiv1.Header) http.Header {
	h := make(http.Header, len(fields)+3)
	for _, f := range fields {
		name := http.CanonicalHeaderKey(f.Name)
		h[name] = append(h[name], f.Values...)
	}
	stripHopByHop(h)
	h.Del("Content-Length") // The length of the body at hand is sent.
	h.Del("Host")
	h.Set(RequestIDHeader, id)
	h.Set(AttemptHeader, strconv.FormatUint(uint64(attempt), 10))
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "") // Keeps net/http from adding its own.
	}
	hideIdempotencyKey(h)
	return h
}

// hideIdempotencyKey writes the key's field name in lower case. Field names are
// case-insensitive to the target, but net/http looks for the canonical form and,
// when it finds it, sends a request without a body once more by itself after a reused
// connection broke. The target would run it twice under one attempt.
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

// responseHeaders drops what concerned the connection to the target. The length is
// kept for HEAD only, where it says what GET would have answered.
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
