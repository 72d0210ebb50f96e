package main

import (
	"math"
	"os"
	"testing"
)

// TestPagesMatchSlopes guards against pages that state figures that no run measured, because
// a page was edited by hand or a formula was changed without rewriting the pages.
func TestPagesMatchSlopes(t *testing.T) {
	p := pages{root: "../.."}
	list, err := p.load()
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range list {
		refitted := &Slope{Points: s.Points}
		refitted.fitLine()
		if !approxEqual(refitted.Slope, s.Slope) || !approxEqual(refitted.Base, s.Base) || !approxEqual(refitted.Residual, s.Residual) {
			t.Errorf("%s: the stored line is not the fit of its points", s.Name)
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
			t.Errorf("%s differs from the page rendered from the slopes; run make slopes", name)
		}
	}
}

// approxEqual compares with a tolerance, since some processors round a product and a sum in one
// step (fused multiply-add).
func approxEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-6*max(1, math.Abs(a)) }
