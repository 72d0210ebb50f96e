package soak

import "testing"

// TestCheckConfigurations guards against a checker that accepts a read of an outdated version, or reports
// a read which is allowed.
func TestCheckConfigurations(t *testing.T) {
	s := newScript(30)
	changes := []configChange{
		{Version: 1, Sent: s.at(0), Acknowledged: s.at(0)}, {Version: 4, Sent: s.at(5), Acknowledged: s.at(6)}, {Version: 9, Sent: s.at(28)},
	}
	for name, c := range map[string]struct {
		reads []configRead
		want  int
	}{
		"not in effect yet":    {[]configRead{{1, s.at(8.9)}, {4, s.at(29)}}, 0},
		"older than in effect": {[]configRead{{1, s.at(9.1)}, {4, s.at(29)}}, 1},
		"not acknowledged yet": {[]configRead{{9, s.at(29)}, {4, s.at(29.1)}}, 0},
		"never sent":           {[]configRead{{5, s.at(29)}}, 1},
		"no answer at the end": {[]configRead{{4, s.at(20)}}, 1},
	} {
		rep := &report{rec: s.rec}
		rep.checkConfigurations(changes, c.reads)
		if len(rep.violations) != c.want {
			t.Errorf("%s: %v", name, rep.violations)
		}
	}
}
