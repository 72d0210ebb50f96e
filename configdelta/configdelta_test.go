package configdelta

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// drawConfiguration draws from a small set of names and lines, so that items often move, repeat and
// change.
func drawConfiguration(t *rapid.T, version uint64) *apiv1.Configuration {
	names := rapid.SliceOfN(rapid.IntRange(0, 7), 0, 9)
	c := &apiv1.Configuration{Version: version, TextDigest: fmt.Sprint(version)}
	for _, n := range names.Draw(t, "services") {
		c.Services = append(c.Services, &apiv1.Service{Name: fmt.Sprint("s", n), Slots: int32(n % 2)})
	}
	for _, n := range names.Draw(t, "jobs") {
		c.Jobs = append(c.Jobs, &apiv1.Job{Name: fmt.Sprint("j", n/2), Tasks: int32(n)})
	}
	for _, n := range names.Draw(t, "teams") {
		c.Teams = append(c.Teams, &apiv1.Team{Name: fmt.Sprint("t", n), Weight: 1})
	}
	if w := rapid.IntRange(0, 2).Draw(t, "policy"); w > 0 {
		c.Policy = &apiv1.Policy{Evictions: int32(w)}
	}
	for _, n := range names.Draw(t, "text") {
		c.Text += fmt.Sprint(n) + []string{"", "\n", "é\n"}[n%3]
	}
	return c
}

// Guards against two hosts that have different configurations with the same version. This happens
// if the edits do not produce the new configuration exactly, or if the digest is not compared. The
// test diffs two configurations with items that move, repeat and change, then flips one bit of the
// encoded delta.
func TestDeltaReproducesNewConfigurationOrIsRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, new := drawConfiguration(t, 3), drawConfiguration(t, 5)
		data, err := proto.Marshal(Diff(old, new))
		if err != nil {
			t.Fatal(err)
		}
		d := &apiv1.ConfigurationDelta{}
		if err := proto.Unmarshal(data, d); err != nil {
			t.Fatal(err)
		}
		got, err := Apply(old, d)
		if err != nil || !proto.Equal(got, new) {
			t.Fatalf("error %v, got %v, want %v", err, got, new)
		}
		data[rapid.IntRange(0, len(data)-1).Draw(t, "byte")] ^= byte(1 << rapid.IntRange(0, 7).Draw(t, "bit"))
		damaged := &apiv1.ConfigurationDelta{}
		if proto.Unmarshal(data, damaged) != nil {
			return
		}
		got, err = Apply(old, damaged)
		var base *BaseError
		var corrupt *CorruptError
		// The version is not part of the digest: the log assigns it.
		if err == nil && (damaged.ToVersion == d.ToVersion && !proto.Equal(got, new)) {
			t.Fatalf("damaged delta produced %v", got)
		}
		if err != nil && !errors.As(err, &base) && !errors.As(err, &corrupt) {
			t.Fatalf("untyped error %v", err)
		}
	})
}

// Guards against deltas as large as the whole text for a change of a few jobs. Finished jobs are
// removed at the front and new ones added at the end. A single edit from the first to the last
// difference would contain everything between them.
func TestDeltaOfDistantChangesStaysSmall(t *testing.T) {
	job := func(i int) (*apiv1.Job, string) {
		name := fmt.Sprint("job-", i)
		return &apiv1.Job{Name: name, Tasks: 2}, "[[job]]\nname = \"" + name + "\"\ntasks = 2\n\n"
	}
	window := func(version uint64, from int) *apiv1.Configuration {
		c := &apiv1.Configuration{Version: version}
		var text strings.Builder
		for i := from; i < from+1000; i++ {
			j, s := job(i)
			c.Jobs = append(c.Jobs, j)
			text.WriteString(s)
		}
		c.Text = text.String()
		return c
	}
	if n := proto.Size(Diff(window(1, 0), window(2, 8))); n > 1000 {
		t.Errorf("8 jobs of 1,000 replaced: %d bytes", n)
	}
}

// Guards against a delayed response that sets a host back to an older configuration. Two peers send
// overlapping chains of deltas, one of them with a gap. The fault was to apply a chain to a version
// at which it does not start.
func TestApplyChainRejectsGaps(t *testing.T) {
	v := func(n uint64) *apiv1.Configuration {
		return &apiv1.Configuration{Version: n, Text: fmt.Sprint("line ", n)}
	}
	all := []*apiv1.ConfigurationDelta{Diff(v(1), v(2)), Diff(v(2), v(4)), Diff(v(4), v(5))}
	for _, c := range []struct {
		have, want uint64
		chain      []*apiv1.ConfigurationDelta
	}{{1, 5, all}, {2, 5, all}, {5, 5, all}, {7, 7, all}, {3, 0, all}, {1, 0, all[1:]}, {2, 0, []*apiv1.ConfigurationDelta{all[1], Diff(v(6), v(7))}}} {
		got, err := ApplyChain(v(c.have), c.chain)
		var base *BaseError
		if refused := errors.As(err, &base); refused != (c.want == 0) || !refused && !proto.Equal(got, v(c.want)) {
			t.Errorf("from %d: %v, %v", c.have, got, err)
		}
	}
}
