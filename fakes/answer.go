package fakes

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// HTTP headers between callers, the system and targets.
const (
	// HeaderRequestID carries the system's request id; targets echo it.
	HeaderRequestID = "Cairnlift-Request-Id"
	// HeaderResponseID carries the same id in responses to callers.
	HeaderResponseID = "X-Request-Id"
	// HeaderOutcome carries the final outcome to the caller.
	HeaderOutcome = "Cairnlift-Outcome"
	// HeaderReason carries the reason for an outcome without an answer.
	HeaderReason = "Cairnlift-Reason"
	// HeaderIdempotencyKey identifies the retries of one request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderCallerID carries the stand-in caller's own id of a request, which all its
	// retries share.
	HeaderCallerID = "Fake-Caller-Id"
	// HeaderWorkMS sets how many milliseconds the stand-in target works on the request.
	HeaderWorkMS = "Fake-Work-Ms"
	// HeaderAnswerBytes sets the minimum length of the stand-in target's answer.
	HeaderAnswerBytes = "Fake-Answer-Bytes"
)

// answerPadding is repeated until an answer has its minimum length.
const answerPadding = "0123456789abcdef"

// Answer returns the only correct answer to a request. It contains the request's id and
// a digest of its body and is at least size bytes long, so that a caller detects a
// truncated answer and the answer to another request.
func Answer(callerID, method, uri string, body []byte, size int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "answer to %s: %s %s body %016x\n", callerID, method, uri, xxhash.Sum64(body))
	for b.Len() < size {
		b.WriteString(answerPadding)
	}
	return b.Bytes()
}
