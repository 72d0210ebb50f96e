package fakes

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Headers between callers, the system and targets.
const (
	// HeaderRequestID names a request within the system; targets echo it.
	HeaderRequestID = "Cairnlift-Request-Id"
	// HeaderResponseID is the same name on answers to callers.
	HeaderResponseID = "X-Request-Id"
	// HeaderOutcome carries the final outcome to the caller.
	HeaderOutcome = "Cairnlift-Outcome"
	// HeaderReason says why there is no answer.
	HeaderReason = "Cairnlift-Reason"
	// HeaderIdempotencyKey makes resends of one request known as such.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderCallerID is the stand-in caller's own name for a request; it stays
	// the same over resends.
	HeaderCallerID = "Fake-Caller-Id"
	// HeaderWorkMS asks the stand-in target to work that long.
	HeaderWorkMS = "Fake-Work-Ms"
	// HeaderAnswerBytes asks the stand-in target for an answer at least that long.
	HeaderAnswerBytes = "Fake-Answer-Bytes"
)

// answerPadding is repeated to bring an answer to its length.
const answerPadding = "0123456789abcdef"

// Answer returns the only right answer to a request: it names the request and
// is at least size bytes long, so that a foreign or short answer shows.
func Answer(callerID, method, uri string, body []byte, size int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "answer to %s: %s %s body %016x\n", callerID, method, uri, xxhash.Sum64(body))
	for b.Len() < size {
		b.WriteString(answerPadding)
	}
	return b.Bytes()
}
