package agent

import (
	"context"
	"math"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/agent/forward"
	"github.com/cairnlift/cairnlift/agent/gate"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// service implements apiv1.Agent. A refusal is a reply, never a twirp error.
type service struct{ a *Agent }

// Dispatch runs one attempt through fence, deduplicate, fresh, target, slot, await,
// forward, record and reply.
func (s *service) Dispatch(ctx context.Context, req *apiv1.DispatchRequest) (*apiv1.DispatchResponse, error) {
	a := s.a
	arrived := a.now()
	key := gate.Key{RequestID: req.RequestId, Attempt: req.Attempt}
	if key.RequestID == "" || key.Attempt == 0 || req.Request == nil {
		v := gate.Verdict{
			Outcome: apiv1.Outcome_OUTCOME_NOT_RUN,
			Reason:  apiv1.Reason_REASON_BAD_REQUEST,
			Message: "dispatch lacks its request id, attempt or request",
		}
		return dispatchResponse(key, v, nil), nil
	}
	admission, waits := a.admit(arrived, key, req)
	if admission.Wait {
		admission = a.awaitDecision(ctx, key, admission.LatestStart, waits)
		a.metrics.waitTime.Update(a.now().Sub(arrived))
	}
	if !admission.Run {
		a.logRefusal(key, req, admission)
		return dispatchResponse(key, admission.Verdict, admission.Load), nil
	}
	verdict, load := a.runAndRecord(ctx, key, req, admission)
	a.logOutcome(key, req, verdict, a.now().Sub(arrived))
	return dispatchResponse(key, verdict, load), nil
}

// runAndRecord runs an admitted attempt and finishes it at the gate, whatever happens: a
// panic on the way would otherwise keep the slot taken for good.
func (a *Agent) runAndRecord(ctx context.Context, key gate.Key, req *apiv1.DispatchRequest, ad gate.Admission) (v gate.Verdict, load *apiv1.Load) {
	began := a.now()
	a.mu.Lock()
	a.latency.RequestStarted(began, req.Target, req.Service)
	a.mu.Unlock()
	v = gate.Verdict{Outcome: apiv1.Outcome_OUTCOME_UNKNOWN, Message: "forwarding broke off"}
	defer func() {
		ended := a.now()
		a.mu.Lock()
		defer a.mu.Unlock()
		load = a.gate.Finish(ended, key, v)
		a.deliverDecisions()
		a.latency.RequestEnded(ended, req.Target, ended.Sub(began), v.Response != nil)
	}()
	v = a.forwardAttempt(ctx, key, req, ad)
	return v, load
}

func dispatchOf(key gate.Key, req *apiv1.DispatchRequest) gate.Dispatch {
	return gate.Dispatch{
		Key:                  key,
		Service:              req.Service,
		Target:               req.Target,
		Incarnation:          req.AgentIncarnation,
		Remaining:            millisToDuration(req.RemainingMs),
		ConfigurationVersion: req.ConfigurationVersion,
		ConfirmedAge:         millisToDuration(req.ConfirmedAgeMs),
		Batch:                req.Priority == apiv1.Priority_PRIORITY_BATCH,
	}
}

// millisToDuration converts without overflow: a huge age must not come out as a small one.
func millisToDuration(ms int64) time.Duration {
	const most = int64(math.MaxInt64 / time.Millisecond)
	return time.Duration(min(max(ms, -most), most)) * time.Millisecond
}

// forwardAttempt forwards an admitted attempt. When the entry goes away, a request with a safe
// method (RFC 9110, section 9.2.1) is given up; any other goes on, because a resend
// under the same idempotency key may ask for its answer.
func (a *Agent) forwardAttempt(ctx context.Context, key gate.Key, req *apiv1.DispatchRequest, ad gate.Admission) gate.Verdict {
	if !isSafeMethod(req.Request.Method) {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, ad.Deadline.Sub(a.now()))
	defer cancel()
	return a.forwarder.Do(ctx, forward.Attempt{
		Key:         key,
		Address:     ad.Address,
		Connections: ad.Connections,
		Request:     req.Request,
	})
}

func isSafeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

func dispatchResponse(key gate.Key, v gate.Verdict, load *apiv1.Load) *apiv1.DispatchResponse {
	return &apiv1.DispatchResponse{
		RequestId:    key.RequestID,
		Attempt:      key.Attempt,
		Outcome:      v.Outcome,
		Reason:       v.Reason,
		Message:      v.Message,
		Response:     v.Response,
		Load:         load,
		RetryAfterMs: v.RetryAfter.Milliseconds(),
	}
}

// Revoke implements apiv1.Agent.
func (s *service) Revoke(_ context.Context, req *apiv1.RevokeRequest) (*apiv1.RevokeResponse, error) {
	a := s.a
	key := gate.Key{RequestID: req.RequestId, Attempt: req.Attempt}
	a.mu.Lock()
	result := a.gate.Revoke(a.now(), gate.Revocation{
		Key:         key,
		Incarnation: req.AgentIncarnation,
		Age:         millisToDuration(req.AgeMs),
	})
	a.deliverDecisions()
	a.mu.Unlock()
	a.log.Info("revoked", zap.String("request", key.RequestID), zap.Uint32("attempt", key.Attempt),
		zap.Stringer("outcome", result.Verdict.Outcome), zap.Bool("running", result.Running))
	return &apiv1.RevokeResponse{
		Outcome:  result.Verdict.Outcome,
		Reason:   result.Verdict.Reason,
		Response: result.Verdict.Response,
		Running:  result.Running,
	}, nil
}

// Drain implements apiv1.Agent. A target that is not here has nothing in progress.
func (s *service) Drain(_ context.Context, req *apiv1.DrainRequest) (*apiv1.DrainResponse, error) {
	var inFlight int
	s.a.updateGate(func(g *gate.Gate) { inFlight, _ = g.Drain(s.a.now(), req.Target) })
	s.a.log.Info("draining", zap.String("target", req.Target), zap.Int("in_flight", inFlight))
	return &apiv1.DrainResponse{InFlight: int32(inFlight), Drained: inFlight == 0}, nil
}

func (a *Agent) logRefusal(key gate.Key, req *apiv1.DispatchRequest, ad gate.Admission) {
	a.metrics.recordRefusal(ad.Verdict.Reason)
	a.log.Info("refused", zap.String("request", key.RequestID), zap.Uint32("attempt", key.Attempt),
		zap.String("target", req.Target), zap.String("filter", ad.Filter),
		zap.Stringer("outcome", ad.Verdict.Outcome), zap.Stringer("reason", ad.Verdict.Reason),
		zap.String("message", ad.Verdict.Message))
}

func (a *Agent) logOutcome(key gate.Key, req *apiv1.DispatchRequest, v gate.Verdict, took time.Duration) {
	a.metrics.recordOutcome(v, took)
	a.log.Info("ran", zap.String("request", key.RequestID), zap.Uint32("attempt", key.Attempt),
		zap.String("target", req.Target), zap.Stringer("outcome", v.Outcome), zap.Stringer("reason", v.Reason),
		zap.String("message", v.Message), zap.Duration("took", took))
}
