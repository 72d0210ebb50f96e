// Package gate is the agent's admission control: it decides which dispatches reach the
// targets of one host. It is the only place that can prove that an attempt was not run, so it
// refuses attempts addressed to another incarnation, never runs one attempt twice, limits
// each target to its slots and connections, and keeps tombstones of revoked attempts. A few
// attempts may wait for a slot of their target; see Decisions.
//
// The package does no I/O and reads no clock: times are passed as arguments and must
// not decrease. A Gate is not safe for concurrent use.
package gate

import (
	"context"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/pipeline"
)

// Key identifies one attempt of one request.
type Key struct {
	RequestID string
	Attempt   uint32
}

// Dispatch holds the fields of a dispatch request by which the gate decides.
type Dispatch struct {
	Key         Key
	Service     string
	Target      string
	Incarnation uint64
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	// ConfigurationVersion is the version of the configuration by which the entry routed.
	ConfigurationVersion uint64
	// ConfirmedAge is the time since a quorum confirmed ConfigurationVersion to the entry;
	// negative if it never did.
	ConfirmedAge time.Duration
	// Batch reports whether the attempt has batch priority: it waits behind all others.
	Batch bool
}

// Verdict is the final outcome of an attempt, or the reason why it was refused.
type Verdict struct {
	Outcome apiv1.Outcome
	Reason  apiv1.Reason
	Message string
	// Response is the target's complete response, nil if there is none or it has been dropped.
	Response *apiv1.HttpResponse
	// RetryAfter estimates when the target can accept the request; zero if unknown.
	RetryAfter time.Duration
}

// Admission is the gate's decision about a dispatch.
type Admission struct {
	// Run reports whether the attempt must be forwarded and then passed to Finish.
	Run bool
	// Wait reports whether the attempt waits for a slot. Decisions returns the decision
	// about it later; TimeOut must be called at LatestStart.
	Wait        bool
	LatestStart time.Time
	// Address and Connections of the target to forward to.
	Address     string
	Connections int
	// Deadline is when the attempt must be ended.
	Deadline time.Time
	// Verdict is the reply if neither Run nor Wait is set.
	Verdict Verdict
	// Filter names the filter that refused.
	Filter string
	Load   *apiv1.Load
}

// Limits bounds what a gate stores and accepts.
type Limits struct {
	// DefaultSlots and DefaultConnections apply to a target if neither its service nor its
	// announcement sets a limit.
	DefaultSlots       int
	DefaultConnections int
	// MaxWaiting bounds the number of attempts that wait for a slot of one target.
	MaxWaiting int
	// StalenessBound is the longest time since a configuration was confirmed for which it
	// still counts as in force.
	StalenessBound time.Duration
	// MaxRemaining caps the time from the arrival of an attempt to its deadline.
	MaxRemaining time.Duration
	// Retention is how long a finished attempt keeps its record.
	Retention time.Duration
	// MinRetention is the shortest time that the record is kept: if all MaxRecords records
	// are younger, new attempts are refused instead of dropping one.
	MinRetention time.Duration
	MaxRecords   int
	// MaxResponseBytes bounds the total size of the responses kept for Revoke.
	MaxResponseBytes int
	// RevokeMargin is the longest time that a revocation may be in transit. Its age is
	// measured when it is sent.
	RevokeMargin time.Duration
	// TombstoneWindow is how late a dispatch can arrive after its revocation. Linux stops
	// retransmitting unacknowledged data after about 15 minutes (tcp_retries2).
	TombstoneWindow time.Duration
	MaxTombstones   int
	// StallBound is how long the agent may be paused (stopped, suspended, starved of
	// processor time) before it refuses dispatches. A dispatch that was buffered in a socket
	// meanwhile states the time that was left when it was sent, not when it is read.
	StallBound time.Duration
	// StallGrace is how long dispatches are refused after the agent has resumed.
	StallGrace time.Duration
	// DepartedTargetRetention is how long a target that left is remembered, so that a renewal
	// sent before it withdrew but received afterwards does not add it again.
	DepartedTargetRetention time.Duration
}

// DefaultLimits returns the limits that an agent uses.
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

// Gate is the admission control of one host's targets, as a state machine.
type Gate struct {
	limits      Limits
	incarnation uint64
	retiring    bool
	closing     bool
	drainAll    bool

	// lastExpireAt is the time of the last call of Expire. After a call that came too late,
	// dispatches are refused until stalledUntil.
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

// New returns a gate for the given incarnation of an agent.
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

// Configure applies a configuration and reports whether it did. It ignores a version that
// is not higher than the one in force, so a late message never reverts the configuration.
func (g *Gate) Configure(c *apiv1.Configuration) bool {
	if c.GetVersion() <= g.configurationVersion {
		return false
	}
	g.configurationVersion = c.Version
	g.revision++ // The numbers of slots may have changed.
	g.services = make(map[string]*apiv1.Service, len(c.Services))
	for _, s := range c.Services {
		g.services[s.Name] = s
	}
	return true
}

// Confirm records that version was the newest one of the control group at the given time.
// It is ignored unless version is in force.
func (g *Gate) Confirm(version uint64, at time.Time) {
	if version == g.configurationVersion && at.After(g.confirmedAt) {
		g.confirmedAt = at
	}
}

// ConfigurationVersion returns the version of the configuration in force, 0 if there is none.
func (g *Gate) ConfigurationVersion() uint64 { return g.configurationVersion }

// ConfirmedAt returns the latest time at which Version is known to have been the newest.
func (g *Gate) ConfirmedAt() time.Time { return g.confirmedAt }

// Retire marks the agent as leaving, which its next announcement reports. The gate still
// admits attempts until Close.
func (g *Gate) Retire() {
	g.retiring = true
	g.revision++
}

// Retiring reports whether Retire was called.
func (g *Gate) Retiring() bool { return g.retiring }

// Close makes the gate refuse all new attempts and those that wait.
func (g *Gate) Close(now time.Time) {
	g.closing = true
	g.reviewAllWaiting(now)
}

// Admit decides whether a dispatch runs, waits or is refused. If it returns Run, the attempt
// has a slot and the caller must call Finish exactly once.
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

// startAttempt gives an attempt a slot and marks it as running.
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

// refuse turns a rejection into a reply. A refused attempt is remembered: if a copy of it
// were run later, the first reply "not run" would become false.
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

// Finish records the outcome of an admitted attempt and gives its slot to the first attempt
// that waits.
func (g *Gate) Finish(now time.Time, k Key, v Verdict) *apiv1.Load {
	r := g.records.finish(now, k, v)
	r.target.requestEnded(now, now.Sub(r.startedAt), isTargetResponse(v.Outcome))
	g.reviewWaiting(now, r.target)
	return g.load(r.target)
}

// isTargetResponse reports whether the target completed a response, so that the attempt's
// duration is a response time of the target.
func isTargetResponse(o apiv1.Outcome) bool {
	return o == apiv1.Outcome_OUTCOME_ANSWERED || o == apiv1.Outcome_OUTCOME_FAILED
}

// InFlight returns the number of running attempts.
func (g *Gate) InFlight() int { return g.records.running }

// Waiting returns the number of attempts that wait for a slot.
func (g *Gate) Waiting() int { return g.records.waiting }

// RecordCounts returns the numbers of recorded attempts and of tombstones.
func (g *Gate) RecordCounts() (attempts, tombstones int) {
	return len(g.records.byKey), len(g.tombstones.set)
}
