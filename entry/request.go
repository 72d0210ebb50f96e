package entry

import (
	"crypto/sha256"
	"net/http"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/route"
)

// Headers that callers may send and that answers carry.
const (
	// HeaderRequestID names the request; made here when the caller sends none.
	HeaderRequestID = "X-Request-Id"
	// HeaderTimeoutMs is the time the caller is ready to wait, milliseconds.
	HeaderTimeoutMs = "Cairnlift-Timeout-Ms"
	// HeaderCaller names the caller for fairness; its IP number otherwise.
	HeaderCaller = "Cairnlift-Caller"
	// HeaderIdempotent says, with the value "true", that the request may be run
	// more than once.
	HeaderIdempotent = "Cairnlift-Idempotent"
	// HeaderIdempotencyKey binds resends of one request together.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderKeyTimeMs is when the key was made, Unix milliseconds.
	HeaderKeyTimeMs = "Cairnlift-Key-Time-Ms"
	// HeaderOutcome is answered, failed, not-run or unknown.
	HeaderOutcome = "Cairnlift-Outcome"
	// HeaderReason says why a request was not run or has no answer.
	HeaderReason = "Cairnlift-Reason"
	// HeaderTarget names the target that answered.
	HeaderTarget = "Cairnlift-Target"
	// HeaderRetryAfterMs is Retry-After in milliseconds.
	HeaderRetryAfterMs = "Cairnlift-Retry-After-Ms"
)

// request is a caller's request on its way through the pipeline.
type request struct {
	route.Request
	raw     *http.Request
	service *apiv1.Service
	http    *apiv1.HttpRequest

	// key is the idempotency key, empty when the caller sent none.
	key     string
	keyTime int64
	digest  []byte
	// claimed: the key is bound to this request in the replicated log.
	claimed bool
	// confirmedNotRun is the last attempt that provably did not run; the next claim of the
	// key names it.
	confirmedNotRun uint32
	// choice is the target of the next dispatch, picked before the claim so that
	// the claim can name it.
	choice *route.Choice
	// admitted requests are counted by the router until released.
	admitted bool
	// dispatches counts dispatches under way or done.
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
	// retryAfter is how long the caller is to wait before it retries; set on not run and unknown.
	retryAfter time.Duration
	// status overrides the HTTP status that follows from the outcome.
	status int
}

// notRun is the answer to a request that surely did not run.
func notRun(reason apiv1.Reason, text string, retryAfter time.Duration) answer {
	return answer{outcome: apiv1.Outcome_OUTCOME_NOT_RUN, reason: reason, message: text, retryAfter: retryAfter}
}

// unknown is the answer to a request that may have run.
func unknown(reason apiv1.Reason, text string, retryAfter time.Duration) answer {
	return answer{outcome: apiv1.Outcome_OUTCOME_UNKNOWN, reason: reason, message: text, retryAfter: retryAfter}
}

// badRequest is the answer to a request that can't be served as it is.
func badRequest(status int, reason apiv1.Reason, text string) answer {
	a := notRun(reason, text, 0)
	a.status = status
	return a
}

// provesRun reports whether an outcome proves that the request ran.
func provesRun(o apiv1.Outcome) bool {
	return o == apiv1.Outcome_OUTCOME_ANSWERED || o == apiv1.Outcome_OUTCOME_FAILED
}

// requestDigest binds an idempotency key to what was asked.
func requestDigest(r *apiv1.HttpRequest) []byte {
	h := sha256.New()
	for _, part := range []string{r.GetMethod(), r.GetUri()} {
		_, _ = h.Write([]byte(part)) // a hash's Write never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.GetBody())
	return h.Sum(nil)
}
