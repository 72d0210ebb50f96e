package soak

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/cairnlift/cairnlift/platform/platformtest"
)

// job is the job "a" whose caller was told something.
func (s *script) job(change func(*submittedJob)) submittedJob {
	j := submittedJob{
		ID: "a", Accepted: s.begin, Status: http.StatusOK, State: "running",
		Job: platformtest.Job{Steps: []platformtest.Step{{Count: 1, CPU: 1000, MemoryMB: 1000}}},
	}
	change(&j)
	return j
}

func (s *script) end(how string, acknowledged float64) {
	r := s.rec.runs[len(s.rec.runs)-1]
	r.how = how
	if acknowledged > 0 {
		r.acknowledged, r.ackedAt = true, s.at(acknowledged)
	}
}

// TestBrokenPromises guards against a judge that passes a broken promise, or finds one that was kept.
func TestBrokenPromises(t *testing.T) {
	for name, c := range map[string]struct {
		script func(*script) submittedJob
		broken int
	}{
		"unknown in the end": {func(s *script) submittedJob {
			return s.job(func(j *submittedJob) { j.Status = http.StatusGone })
		}, 1},
		"refused, never ran": {func(s *script) submittedJob {
			return s.job(func(j *submittedJob) { j.Refused = true })
		}, 0},
		"refused, ran": {func(s *script) submittedJob {
			s.run("a.0.0.0", s.life("w1", 0, 30), 1, 2)
			return s.job(func(j *submittedJob) { j.Refused = true })
		}, 1},
		"succeeded without an end": {func(s *script) submittedJob {
			return s.job(func(j *submittedJob) { j.State = "succeeded" })
		}, 1},
		"failed too early": {func(s *script) submittedJob {
			for i := range batchAttempts - 1 {
				s.run("a.0.0.0", s.life("w1", 0, 30), float64(i), float64(i)+0.5)
				s.end("failed", 0)
			}
			return s.job(func(j *submittedJob) { j.State = "failed" })
		}, 1},
		"canceled, stops in time": {func(s *script) submittedJob {
			s.run("a.0.0.0", s.life("w1", 0, 30), 1, 13.9)
			return s.job(func(j *submittedJob) { j.State, j.CancelSent, j.Canceled = "canceled", s.at(10), s.at(10) })
		}, 0},
		"canceled, goes on": {func(s *script) submittedJob {
			s.run("a.0.0.0", s.life("w1", 0, 30), 1, 14.1)
			return s.job(func(j *submittedJob) { j.State, j.CancelSent, j.Canceled = "canceled", s.at(10), s.at(10) })
		}, 1},
		"canceled, goes on after a fault": {func(s *script) submittedJob {
			s.run("a.0.0.0", s.life("w1", 0, 30), 1, 14.1)
			s.fault(11)
			return s.job(func(j *submittedJob) { j.State, j.CancelSent, j.Canceled = "canceled", s.at(10), s.at(10) })
		}, 0},
		"canceled, begins late": {func(s *script) submittedJob {
			s.run("a.0.0.0", s.life("w1", 0, 30), 13.1, 14)
			return s.job(func(j *submittedJob) { j.State, j.CancelSent, j.Canceled = "canceled", s.at(10), s.at(10) })
		}, 1},
		"canceled, begins late when its link is mended": {func(s *script) submittedJob {
			s.run("a.0.0.0", s.life("w1", 0, 30), 15, 15.1)
			s.link(11, linkDark)
			s.link(14.9, linkMend)
			return s.job(func(j *submittedJob) { j.State, j.CancelSent, j.Canceled = "canceled", s.at(10), s.at(10) })
		}, 0},
		"canceled, begins late after its link was mended": {func(s *script) submittedJob {
			s.run("a.0.0.0", s.life("w1", 0, 30), 15, 15.1)
			s.link(11, linkDark)
			s.link(11.9, linkMend)
			return s.job(func(j *submittedJob) { j.State, j.CancelSent, j.Canceled = "canceled", s.at(10), s.at(10) })
		}, 1},
		"canceled, runs in the end": {func(s *script) submittedJob {
			return s.job(func(j *submittedJob) { j.CancelSent, j.Canceled = s.at(10), s.at(10) })
		}, 1},
		"done and acknowledged, begins again": {func(s *script) submittedJob {
			s.run("a.0.0.0", s.life("w1", 0, 30), 1, 2)
			s.end("done", 3)
			s.run("a.0.0.0", s.life("w2", 0, 30), 4, 5)
			return s.job(func(*submittedJob) {})
		}, 1},
		"done, acknowledged after the worker's lease ran out, begins again": {func(s *script) submittedJob {
			s.run("a.0.0.0", s.life("w1", 0, 30), 1, 2)
			s.end("done", 5)
			s.rec.runs[len(s.rec.runs)-1].lapsedBefore = true
			s.run("a.0.0.0", s.life("w2", 0, 30), 6, 7)
			return s.job(func(*submittedJob) {})
		}, 0},
		"done, not acknowledged, begins again": {func(s *script) submittedJob {
			s.run("a.0.0.0", s.life("w1", 0, 30), 1, 2)
			s.end("done", 0)
			s.run("a.0.0.0", s.life("w2", 0, 30), 4, 5)
			return s.job(func(*submittedJob) {})
		}, 0},
	} {
		s := newScript(30)
		j := c.script(s)
		rep := &report{rec: s.rec}
		rep.judgeJob(j)
		rep.judgeDone("a.0.0.0")
		if len(rep.promises) != c.broken {
			t.Errorf("%s: %v", name, rep.promises)
		}
	}
}

// Guards against a judge that misses a lease that ran out while nothing ran under it.
func TestLapseWithoutRunsIsRead(t *testing.T) {
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
	s.rec.readWorker("w1", []byte(lines))
	if r := s.rec.runs[0]; !r.acknowledged || !r.lapsedBefore {
		t.Errorf("the run is read as %+v", r)
	}
}
