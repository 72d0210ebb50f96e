package soak

import "testing"

// TestCheckConfigurations guards against a judge that passes a version that went back, or finds one
// that may be read.
func TestCheckConfigurations(t *testing.T) {
	s := newScript(30)
	changes := []configChange{
		{Version: 1, Sent: s.at(0), Acknowledged: s.at(0)}, {Version: 4, Sent: s.at(5), Acknowledged: s.at(6)}, {Version: 9, Sent: s.at(28)},
	}
	for name, c := range map[string]struct {
		reads  []configRead
		broken int
	}{
		"not in force yet":     {[]configRead{{1, s.at(8.9)}, {4, s.at(29)}}, 0},
		"older than in force":  {[]configRead{{1, s.at(9.1)}, {4, s.at(29)}}, 1},
		"not acknowledged yet": {[]configRead{{9, s.at(29)}, {4, s.at(29.1)}}, 0},
		"never sent":           {[]configRead{{5, s.at(29)}}, 1},
		"no answer in the end": {[]configRead{{4, s.at(20)}}, 1},
	} {
		rep := &report{rec: s.rec}
		rep.checkConfigurations(changes, c.reads)
		if len(rep.violations) != c.broken {
			t.Errorf("%s: %v", name, rep.violations)
		}
	}
}
