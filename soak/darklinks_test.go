package soak

import (
	"os"
	"testing"
)

// Guards against a task on two workers at once: links are dark until leases have run out, and no leader
// answers when they are mended.
func TestBlackholedLinksWithPausedControlHosts(t *testing.T) {
	plan, err := os.ReadFile("testdata/dark-links.plan")
	if err != nil {
		t.Fatal(err)
	}
	o := testOptions(t, 16)
	if err := Run(t.Context(), o, Profile{Plan: string(plan), BatchShare: 2}, 1); err != nil {
		t.Fatal(err)
	}
	s, err := readSummary(o.Folder)
	if err != nil {
		t.Fatal(err)
	}
	rep, err := check(o.Folder, s)
	if err != nil {
		t.Fatal(err)
	}
	if len(rep.rec.runs) == 0 {
		t.Error("nothing ran")
	}
	for _, finding := range append(rep.overlaps, rep.violations...) {
		t.Error(finding)
	}
}
