package entry

import (
	"crypto/sha256"
	"net/http"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/route"
)

// Headers of callers' requests and of their responses.
const (
	// HeaderRequestID identifies the request; the entry generates an ID when the caller sends none.
	HeaderRequestID = "X-Request-Id"
	// HeaderTimeoutMs is the caller's timeout in milliseconds.
	HeaderTimeoutMs = "Cairnlift-Timeout-Ms"
	// HeaderCaller names the caller for fair queueing; without it the caller's IP address is used.
	HeaderCaller = "Cairnlift-Caller"
	// HeaderIdempotent states, with the value "true", that the request may run more than once.
	HeaderIdempotent = "Cairnlift-Idempotent"
	// HeaderIdempotencyKey identifies resends of the same request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderKeyTimeMs is the time at which the key was created, in Unix milliseconds.
	HeaderKeyTimeMs = "Cairnlift-Key-Time-Ms"
	// HeaderOutcome is the outcome: answered, failed, not-run or unknown.
	HeaderOutcome = "Cairnlift-Outcome"
	// HeaderReason is the reason why a request was not run or has no response.
	HeaderReason = "Cairnlift-Reason"
	// HeaderTarget names the target of the attempt that the response reports.
	HeaderTarget = "Cairnlift-Target"
	// HeaderRetryAfterMs is Retry-After in milliseconds.
	HeaderRetryAfterMs = "Cairnlift-Retry-After-Ms"
)

// request is the state of a caller's request in the pipeline.
type request struct {
	route.Request
	raw     *http.Request
	service *apiv1.Service
	http    *apiv1.HttpRequest

	// key is the idempotency key, empty when the caller sent none.
	key     string
	keyTime int64
	digest  []byte
	// claimed is set while the key is bound to this request in the replicated log.
	claimed bool
	// confirmedNotRun is the number of the last attempt that is confirmed not to have run; the
	// next claim of the key names it.
	confirmedNotRun uint32
	// choice is the target of the next dispatch, picked before the claim because the claim
	// names it.
	choice *route.Choice
	// admitted is set while the router counts the request as in progress.
	admitted bool
	// dispatches is the number of dispatches started so far.
	dispatches uint32

	answer answer
}

// answer is the final outcome of a request.
type answer struct {
	outcome  apiv1.Outcome
	reason   apiv1.Reason
	message  string
	target   string
	response *apiv1.HttpResponse
	// retryAfter is the time after which the caller may retry; it is set for the outcomes not
	// run and unknown.
	retryAfter time.Duration
	// status overrides the default HTTP status of the outcome.
	status int
}

// notRun returns the answer to a request that certainly did not run.
func notRun(reason apiv1.Reason, message string, retryAfter time.Duration) answer {
	return answer{outcome: apiv1.Outcome_OUTCOME_NOT_RUN, reason: reason, message: message, retryAfter: retryAfter}
}

// unknown returns the answer to a request that may have run.
func unknown(reason apiv1.Reason, message string, retryAfter time.Duration) answer {
	return answer{outcome: apiv1.Outcome_OUTCOME_UNKNOWN, reason: reason, message: message, retryAfter: retryAfter}
}

// badRequest returns the answer to an invalid request.
func badRequest(status int, reason apiv1.Reason, message string) answer {
	a := notRun(reason, message, 0)
	a.status = status
	return a
}

// provesRun reports whether an outcome implies that the request ran.
func provesRun(o apiv1.Outcome) bool {
	return o == apiv1.Outcome_OUTCOME_ANSWERED || o == apiv1.Outcome_OUTCOME_FAILED
}

// requestDigest returns a digest of the request's method, URI and body, to which its idempotency
// key is bound.
func requestDigest(r *apiv1.HttpRequest) []byte {
	h := sha256.New()
	for _, part := range []string{r.GetMethod(), r.GetUri()} {
		_, _ = h.Write([]byte(part)) // a hash's Write never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.GetBody())
	return h.Sum(nil)
}
