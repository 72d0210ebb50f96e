package soak

import (
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/platform/platformtest"
)

// recordBuilder is a record made by hand, in seconds since its begin.
type recordBuilder struct {
	rec   *record
	start time.Time
}

func newScript(length float64) *recordBuilder {
	s := &recordBuilder{start: time.UnixMilli(1_700_000_000_000)}
	s.rec = &record{end: s.at(length)}
	return s
}

func (s *recordBuilder) at(seconds float64) time.Time {
	return s.start.Add(time.Duration(seconds * float64(time.Second)))
}

func (s *recordBuilder) incarnation(worker string, from, to float64) *incarnation {
	l := &incarnation{worker: worker, start: s.at(from), end: s.at(to)}
	s.rec.incarnations = append(s.rec.incarnations, l)
	return l
}

func (s *recordBuilder) run(task string, l *incarnation, from, to float64) {
	r := &run{task: task, incarnation: l, start: s.at(from), end: s.at(to)}
	s.rec.runs, l.runs = append(s.rec.runs, r), append(l.runs, r)
}

func (s *recordBuilder) fault(at float64) {
	s.rec.faults = append(s.rec.faults, fault{AtMicros: s.at(at).UnixMicro(), Process: "w9", What: "killed"})
}

// linkFault disturbs the link of "w1", or mends it.
func (s *recordBuilder) linkFault(at float64, mode linkMode) {
	s.rec.faults = append(s.rec.faults, fault{AtMicros: s.at(at).UnixMicro(), Process: "link-1", What: string(mode)})
}

var checkedStep = platformtest.Step{Count: 1, CPU: 1000, MemoryMB: 1000, LongRunning: true}

// checkedGaps judges the gaps of the one task "a" of the script.
func (s *recordBuilder) checkedGaps() []checkedGap {
	rep := &report{rec: s.rec, steps: map[string]platformtest.Step{"a": checkedStep, "b": {CPU: 3000, MemoryMB: 100}}}
	var judged []checkedGap
	for _, g := range s.rec.gapsOf("a.0.0.0", checkedStep, s.start) {
		judged = append(judged, rep.checkGap(g))
	}
	return judged
}

// TestTooLongGaps guards against a judge that passes what the rule forbids, or finds what it allows.
func TestTooLongGaps(t *testing.T) {
	for name, c := range map[string]struct {
		back   float64
		faults []float64
		full   bool
		apart  bool
		want   bool
	}{
		"back in time":                       {back: 18.9},
		"back too late":                      {back: 19.3, want: true},
		"never back":                         {back: 30, want: true},
		"a fault shortly after the death":    {back: 19.3, faults: []float64{11.5}, want: true},
		"a fault in the calm time":           {back: 19.3, faults: []float64{13}},
		"calm for long enough after a fault": {back: 21, faults: []float64{13}, want: true},
		"never calm for long enough":         {back: 30, faults: []float64{13, 19, 25}},
		"no room for the task twice over":    {back: 30, full: true},
		"nobody reaches the other worker":    {back: 30, apart: true},
	} {
		s := newScript(30)
		s.run("a.0.0.0", s.incarnation("w1", 0, 10), 0, 10)
		other := s.incarnation("w2", 0, 30)
		if c.full {
			s.run("b.0.0.0", other, 0, 30)
		}
		if c.apart {
			s.rec.faults = append(s.rec.faults, fault{AtMicros: s.at(1).UnixMicro(), Process: "link-2", What: string(linkBlackhole)})
		}
		if c.back < 30 {
			s.run("a.0.0.0", other, c.back, 30)
		}
		for _, at := range c.faults {
			s.fault(at)
		}
		gaps := s.checkedGaps()
		if len(gaps) != 1 || gaps[0].violated != c.want {
			t.Errorf("%s: %+v", name, gaps)
		}
	}
}

// TestOverlappingRuns guards against gaps that are counted while another run of the task goes on.
func TestOverlappingRuns(t *testing.T) {
	s := newScript(20)
	w1, w2 := s.incarnation("w1", 0, 20), s.incarnation("w2", 0, 20)
	s.run("a.0.0.0", w1, 0, 12)
	s.run("a.0.0.0", w2, 1, 3)
	s.run("a.0.0.0", w2, 13, 20)
	gaps := s.checkedGaps()
	if len(gaps) != 1 || gaps[0].length() != time.Second {
		t.Errorf("%+v", gaps)
	}
	rep := &report{rec: s.rec}
	if rep.checkOverlaps("a.0.0.0"); len(rep.overlaps) != 1 {
		t.Errorf("two runs at once: %v", rep.overlaps)
	}
}
