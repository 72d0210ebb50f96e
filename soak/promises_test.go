package soak

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/cairnlift/cairnlift/platform/platformtest"
)

// job is the job "a" whose caller was told something.
func (s *recordBuilder) job(change func(*submittedJob)) submittedJob {
	j := submittedJob{
		ID: "a", Accepted: s.start, Status: http.StatusOK, State: "running",
		Job: platformtest.Job{Steps: []platformtest.Step{{Count: 1, CPU: 1000, MemoryMB: 1000}}},
	}
	change(&j)
	return j
}

func (s *recordBuilder) endRun(how string, acknowledged float64) {
	r := s.rec.runs[len(s.rec.runs)-1]
	r.outcome = how
	if acknowledged > 0 {
		r.acknowledged, r.ackedAt = true, s.at(acknowledged)
	}
}

// TestGuaranteeViolations guards against a judge that passes a broken promise, or finds one that was kept.
func TestGuaranteeViolations(t *testing.T) {
	for name, c := range map[string]struct {
		script func(*recordBuilder) submittedJob
		broken int
	}{
		"unknown in the end": {func(s *recordBuilder) submittedJob {
			return s.job(func(j *submittedJob) { j.Status = http.StatusGone })
		}, 1},
		"refused, never ran": {func(s *recordBuilder) submittedJob {
			return s.job(func(j *submittedJob) { j.Refused = true })
		}, 0},
		"refused, ran": {func(s *recordBuilder) submittedJob {
			s.run("a.0.0.0", s.incarnation("w1", 0, 30), 1, 2)
			return s.job(func(j *submittedJob) { j.Refused = true })
		}, 1},
		"succeeded without an end": {func(s *recordBuilder) submittedJob {
			return s.job(func(j *submittedJob) { j.State = "succeeded" })
		}, 1},
		"failed too early": {func(s *recordBuilder) submittedJob {
			for i := range batchAttempts - 1 {
				s.run("a.0.0.0", s.incarnation("w1", 0, 30), float64(i), float64(i)+0.5)
				s.endRun("failed", 0)
			}
			return s.job(func(j *submittedJob) { j.State = "failed" })
		}, 1},
		"canceled, stops in time": {func(s *recordBuilder) submittedJob {
			s.run("a.0.0.0", s.incarnation("w1", 0, 30), 1, 13.9)
			return s.job(func(j *submittedJob) { j.State, j.CancelSent, j.Canceled = "canceled", s.at(10), s.at(10) })
		}, 0},
		"canceled, goes on": {func(s *recordBuilder) submittedJob {
			s.run("a.0.0.0", s.incarnation("w1", 0, 30), 1, 14.1)
			return s.job(func(j *submittedJob) { j.State, j.CancelSent, j.Canceled = "canceled", s.at(10), s.at(10) })
		}, 1},
		"canceled, goes on after a fault": {func(s *recordBuilder) submittedJob {
			s.run("a.0.0.0", s.incarnation("w1", 0, 30), 1, 14.1)
			s.fault(11)
			return s.job(func(j *submittedJob) { j.State, j.CancelSent, j.Canceled = "canceled", s.at(10), s.at(10) })
		}, 0},
		"canceled, begins late": {func(s *recordBuilder) submittedJob {
			s.run("a.0.0.0", s.incarnation("w1", 0, 30), 13.1, 14)
			return s.job(func(j *submittedJob) { j.State, j.CancelSent, j.Canceled = "canceled", s.at(10), s.at(10) })
		}, 1},
		"canceled, begins late when its link is mended": {func(s *recordBuilder) submittedJob {
			s.run("a.0.0.0", s.incarnation("w1", 0, 30), 15, 15.1)
			s.linkFault(11, linkBlackhole)
			s.linkFault(14.9, linkRestore)
			return s.job(func(j *submittedJob) { j.State, j.CancelSent, j.Canceled = "canceled", s.at(10), s.at(10) })
		}, 0},
		"canceled, begins late after its link was mended": {func(s *recordBuilder) submittedJob {
			s.run("a.0.0.0", s.incarnation("w1", 0, 30), 15, 15.1)
			s.linkFault(11, linkBlackhole)
			s.linkFault(11.9, linkRestore)
			return s.job(func(j *submittedJob) { j.State, j.CancelSent, j.Canceled = "canceled", s.at(10), s.at(10) })
		}, 1},
		"canceled, runs in the end": {func(s *recordBuilder) submittedJob {
			return s.job(func(j *submittedJob) { j.CancelSent, j.Canceled = s.at(10), s.at(10) })
		}, 1},
		"done and acknowledged, begins again": {func(s *recordBuilder) submittedJob {
			s.run("a.0.0.0", s.incarnation("w1", 0, 30), 1, 2)
			s.endRun("done", 3)
			s.run("a.0.0.0", s.incarnation("w2", 0, 30), 4, 5)
			return s.job(func(*submittedJob) {})
		}, 1},
		"done, acknowledged after the worker's lease ran out, begins again": {func(s *recordBuilder) submittedJob {
			s.run("a.0.0.0", s.incarnation("w1", 0, 30), 1, 2)
			s.endRun("done", 5)
			s.rec.runs[len(s.rec.runs)-1].leaseExpiredBeforeAck = true
			s.run("a.0.0.0", s.incarnation("w2", 0, 30), 6, 7)
			return s.job(func(*submittedJob) {})
		}, 0},
		"done, not acknowledged, begins again": {func(s *recordBuilder) submittedJob {
			s.run("a.0.0.0", s.incarnation("w1", 0, 30), 1, 2)
			s.endRun("done", 0)
			s.run("a.0.0.0", s.incarnation("w2", 0, 30), 4, 5)
			return s.job(func(*submittedJob) {})
		}, 0},
	} {
		s := newScript(30)
		j := c.script(s)
		rep := &report{rec: s.rec}
		rep.checkJob(j)
		rep.checkDone("a.0.0.0")
		if len(rep.violations) != c.broken {
			t.Errorf("%s: %v", name, rep.violations)
		}
	}
}

// Guards against a judge that misses a lease that ran out while nothing ran under it.
func TestLeaseExpiryWithoutRuns(t *testing.T) {
	s := newScript(30)
	var lines string
	for _, l := range []struct {
		at   float64
		rest string
	}{
		{0, `"kind":"life began"`}, {1, `"kind":"run began","task":"a.0.0.0","run":1`},
		{2, `"kind":"run ended","task":"a.0.0.0","run":1,"how":"done"`}, {4, `"kind":"lease lapsed"`},
		{5, `"kind":"ends acknowledged","ends":1`},
	} {
		lines += fmt.Sprintf("{\"at_us\":%d,\"worker\":\"w1\",%s}\n", s.at(l.at).UnixMicro(), l.rest)
	}
	s.rec.readWorkerEvents("w1", []byte(lines))
	if r := s.rec.runs[0]; !r.acknowledged || !r.leaseExpiredBeforeAck {
		t.Errorf("the run is read as %+v", r)
	}
}
