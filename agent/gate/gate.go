// Package gate decides which dispatches reach the targets of one host. It is the
// only place that can prove "this attempt was not run", so it refuses attempts
// meant for another incarnation, never runs one attempt twice, holds each target
// to its slots and connections, and keeps tombstones of revoked attempts. A few
// attempts may wait for a slot of their target; see Decisions.
//
// The package does no I/O and reads no clock: times come in as arguments and must
// not go back. A Gate is not safe for concurrent use.
package gate

import (
	"context"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/pipeline"
)

// Key names one attempt of one request.
type Key struct {
	RequestID string
	Attempt   uint32
}

// Dispatch is what the gate looks at in a request to run an attempt.
type Dispatch struct {
	Key         Key
	Service     string
	Target      string
	Incarnation uint64
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	// ConfigurationVersion is the configuration the entry routed by.
	ConfigurationVersion uint64
	// ConfirmedAge is how long ago a quorum confirmed Version to the entry;
	// negative when it never did.
	ConfirmedAge time.Duration
	// Batch attempts wait behind all others.
	Batch bool
}

// Verdict is the final outcome of an attempt, or the refusal of one.
type Verdict struct {
	Outcome apiv1.Outcome
	Reason  apiv1.Reason
	Message string
	// Response is the target's whole answer, nil when there is none or it is no longer kept.
	Response *apiv1.HttpResponse
	// RetryAfter says when the target may take the request; zero when unknown.
	RetryAfter time.Duration
}

// Admission is the gate's decision about a dispatch.
type Admission struct {
	// Run says that the attempt must be forwarded and then passed to Finish.
	Run bool
	// Wait says that the attempt waits for a slot. Decisions will tell what becomes
	// of it; Lapse must be called when LatestStart has come.
	Wait        bool
	LatestStart time.Time
	// Address and Connections of the target to forward to.
	Address     string
	Connections int
	// Deadline ends the attempt.
	Deadline time.Time
	// Verdict holds what to reply when neither Run nor Wait is set.
	Verdict Verdict
	// Filter names the filter that refused.
	Filter string
	Load   *apiv1.Load
}

// Limits bounds what a gate keeps and accepts.
type Limits struct {
	// DefaultSlots and Connections of a target when neither its service nor its
	// announcement names them.
	DefaultSlots       int
	DefaultConnections int
	// MaxWaiting bounds the attempts that wait for slots of one target.
	MaxWaiting int
	// StalenessBound is how long ago a configuration may have been confirmed.
	StalenessBound time.Duration
	// MaxRemaining caps the deadline of an attempt.
	MaxRemaining time.Duration
	// Retention is how long a finished attempt is remembered.
	Retention time.Duration
	// MinRetention is how long it is remembered at least: when MaxRecords are all
	// younger, new work is refused rather than a young record dropped.
	MinRetention time.Duration
	MaxRecords   int
	// MaxResponseBytes bounds the answers kept for Revoke, all together.
	MaxResponseBytes int
	// RevokeMargin is how long a revocation may be on its way; its age is counted
	// from its sending.
	RevokeMargin time.Duration
	// TombstoneWindow is how long a dispatch can be late. Linux gives up on
	// unacknowledged data of a connection after about 15 minutes (tcp_retries2).
	TombstoneWindow time.Duration
	MaxTombstones   int
	// StallBound is how long the agent may stand still (stopped, suspended, starved of
	// processor time) before dispatches are refused. What waited in its sockets
	// meanwhile says how much time was left when it was sent, not when it is read.
	StallBound time.Duration
	// StallGrace is how long they are refused after the agent goes on.
	StallGrace time.Duration
	// DepartedTargetRetention is how long a target that left is remembered, so that a renewal that
	// crossed its leaving does not bring it back.
	DepartedTargetRetention time.Duration
}

// DefaultLimits returns the limits an agent runs with.
func DefaultLimits() Limits {
	return Limits{
		DefaultSlots:            8,
		DefaultConnections:      64,
		MaxWaiting:              MaxWaiting,
		StalenessBound:          3 * time.Second,
		MaxRemaining:            5 * time.Minute,
		Retention:               2 * time.Minute,
		MinRetention:            10 * time.Second,
		MaxRecords:              1 << 18,
		MaxResponseBytes:        32 << 20,
		RevokeMargin:            5 * time.Second,
		TombstoneWindow:         16 * time.Minute,
		MaxTombstones:           1 << 17,
		StallBound:              2 * time.Second,
		StallGrace:              250 * time.Millisecond,
		DepartedTargetRetention: 2 * time.Second,
	}
}

// Gate is the state machine in front of a host's targets.
type Gate struct {
	limits      Limits
	incarnation uint64
	retiring    bool
	closing     bool
	drainAll    bool

	// lastExpireAt is the time of the last Expire, stalledUntil the end of the refusals
	// after one that came too late.
	lastExpireAt time.Time
	stalledUntil time.Time

	configurationVersion uint64
	confirmedAt          time.Time
	services             map[string]*apiv1.Service

	targets  map[string]*target
	revision uint64

	records    records
	tombstones tombstones
	refused    refusedFilter

	admissionFilters pipeline.Pipeline[admission]
	startFilters     pipeline.Pipeline[admission]
	decisions        []Decision
}

// New returns a gate for one incarnation of an agent.
func New(incarnation uint64, limits Limits) *Gate {
	g := &Gate{
		limits:      limits,
		incarnation: incarnation,
		targets:     make(map[string]*target),
		revision:    1,
		records:     newRecords(limits),
		tombstones:  newTombstones(limits),
	}
	g.admissionFilters = pipeline.Pipeline[admission]{
		{Name: "fence", Apply: g.checkIncarnation},
		{Name: "deduplicate", Apply: g.checkDuplicate},
		{Name: "fresh", Apply: g.checkFreshness},
		{Name: "target", Apply: g.checkTarget},
		{Name: "slot", Apply: g.checkSlot},
	}
	g.startFilters = pipeline.Pipeline[admission]{
		{Name: "fresh", Apply: g.checkFreshness},
		{Name: "wait", Apply: g.checkLatestStart},
		{Name: "target", Apply: g.checkTarget},
	}
	return g
}

// Configure takes over a configuration. A version at or below the one in force
// changes nothing: a late message never makes a configuration revert.
func (g *Gate) Configure(c *apiv1.Configuration) bool {
	if c.GetVersion() <= g.configurationVersion {
		return false
	}
	g.configurationVersion = c.Version
	g.revision++ // Slots may differ.
	g.services = make(map[string]*apiv1.Service, len(c.Services))
	for _, s := range c.Services {
		g.services[s.Name] = s
	}
	return true
}

// Confirm notes that version was the newest of the whole group at a time. It is
// ignored unless it is about the version in force.
func (g *Gate) Confirm(version uint64, at time.Time) {
	if version == g.configurationVersion && at.After(g.confirmedAt) {
		g.confirmedAt = at
	}
}

// ConfigurationVersion returns the configuration version in force, 0 when none is.
func (g *Gate) ConfigurationVersion() uint64 { return g.configurationVersion }

// ConfirmedAt returns the latest time at which Version is known to have been the newest.
func (g *Gate) ConfirmedAt() time.Time { return g.confirmedAt }

// Retire announces that the agent is about to stop; the gate still takes work.
func (g *Gate) Retire() {
	g.retiring = true
	g.revision++
}

// Retiring reports whether the agent is about to stop.
func (g *Gate) Retiring() bool { return g.retiring }

// Close makes the gate refuse everything new, and what waits.
func (g *Gate) Close(now time.Time) {
	g.closing = true
	g.reviewAllWaiting(now)
}

// Admit decides about a dispatch. When it returns Run, the slot is taken and the
// caller must call Finish exactly once.
func (g *Gate) Admit(now time.Time, d Dispatch) Admission {
	a := admission{now: now, dispatch: d}
	if st := g.admissionFilters.Run(context.Background(), &a); !st.Passed() {
		return g.refuse(&a, st)
	}
	r := g.records.add(now, d.Key, a.target)
	deadline := g.attemptDeadline(now, d)
	if a.wait {
		return g.enqueue(r, d, deadline)
	}
	return g.startAttempt(now, r, deadline)
}

func (g *Gate) attemptDeadline(now time.Time, d Dispatch) time.Time {
	return now.Add(min(d.Remaining, g.limits.MaxRemaining))
}

// startAttempt takes a slot for an attempt.
func (g *Gate) startAttempt(now time.Time, r *record, deadline time.Time) Admission {
	t := r.target
	t.requestStarted()
	g.records.start(now, r)
	return Admission{
		Run:         true,
		Address:     t.Address,
		Connections: g.connections(t),
		Deadline:    deadline,
		Load:        g.load(t),
	}
}

// refuse turns a rejection into a reply. A refused attempt is remembered: if it
// came once more and were then run, the first reply "not run" would become false.
func (g *Gate) refuse(a *admission, st pipeline.Status) Admission {
	if a.verdict.Outcome == apiv1.Outcome_OUTCOME_NOT_RUN && !a.remembered {
		g.refused.add(a.now, a.dispatch.Key)
	}
	r := Admission{Verdict: a.verdict, Filter: st.Filter}
	if t := g.targets[a.dispatch.Target]; t != nil {
		r.Load = g.load(t)
	}
	return r
}

// Finish records what became of an admitted attempt and gives its slot to the first
// that waits.
func (g *Gate) Finish(now time.Time, k Key, v Verdict) *apiv1.Load {
	r := g.records.finish(now, k, v)
	r.target.requestEnded(now, now.Sub(r.startedAt), isTargetResponse(v.Outcome))
	g.reviewWaiting(now, r.target)
	return g.load(r.target)
}

// isTargetResponse reports whether an attempt's response time says something about the target.
func isTargetResponse(o apiv1.Outcome) bool {
	return o == apiv1.Outcome_OUTCOME_ANSWERED || o == apiv1.Outcome_OUTCOME_FAILED
}

// InFlight returns the number of attempts that are being run.
func (g *Gate) InFlight() int { return g.records.running }

// Waiting returns the number of attempts that wait for a slot.
func (g *Gate) Waiting() int { return g.records.waiting }

// RecordCounts returns how many attempts and tombstones are remembered.
func (g *Gate) RecordCounts() (attempts, tombstones int) {
	return len(g.records.byKey), len(g.tombstones.set)
}
