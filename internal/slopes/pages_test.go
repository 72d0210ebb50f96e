package main

import (
	"math"
	"os"
	"testing"
)

// TestPagesMatchSlopes: the pages were edited by hand, or a formula was changed and
// the pages were not written anew, so that they state what no run gave.
func TestPagesMatchSlopes(t *testing.T) {
	p := pages{root: "../.."}
	list, err := p.load()
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range list {
		again := &Slope{Points: s.Points}
		again.fitLine()
		if !approxEqual(again.Slope, s.Slope) || !approxEqual(again.Base, s.Base) || !approxEqual(again.Residual, s.Residual) {
			t.Errorf("%s: the line is not the one through its points", s.Name)
		}
	}
	capacity, err := renderCapacity(list)
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string][]byte{capacityPage: capacity, slopesPage: renderSlopes(list)} {
		got, err := os.ReadFile(p.path(name))
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != string(want) {
			t.Errorf("%s is not what the slopes give; run make slopes", name)
		}
	}
}

// approxEqual allows for processors that round a product and a sum in one step.
func approxEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-6*max(1, math.Abs(a)) }
