package soak

import "testing"

// TestCheckCordons guards against a checker that accepts a start in a cordoned zone, or reports one that is
// allowed.
func TestCheckCordons(t *testing.T) {
	s := newScript(60)
	cordons := []zoneCordon{{Zone: workerZone(1), Sent: s.at(9), Acknowledged: s.at(10), WithdrawSent: s.at(30), Withdrawn: s.at(31)}}
	for name, c := range map[string]struct {
		worker  string
		startAt float64
		want    int
	}{
		"before the bound":         {"w1", 14.9, 0},
		"after the bound":          {"w1", 15.1, 1},
		"other worker of the zone": {"w4", 20, 1},
		"other zone":               {"w2", 20, 0},
		"being withdrawn":          {"w1", 30.1, 0},
	} {
		rep := &report{rec: &record{runs: []*run{{task: "j.0.0.0", number: 1, incarnation: &incarnation{worker: c.worker}, start: s.at(c.startAt)}}}, cordons: cordons}
		rep.checkCordons(cordons)
		if len(rep.violations) != c.want {
			t.Errorf("%s: %v", name, rep.violations)
		}
		if rep.mayBeCordoned("w1", s.at(8)) || !rep.mayBeCordoned("w4", s.at(30.5)) || rep.mayBeCordoned("w1", s.at(32)) {
			t.Error("the times of a cordon are wrong")
		}
	}
}
