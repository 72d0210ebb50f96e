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

// drawConfiguration draws from few names and lines, so that items move, repeat
// and change often.
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

// Symptom: after a change two hosts have the same version and different
// configurations. Sequence: any two configurations, with items that move, repeat
// and change; then any one field of the delta is damaged on the way. Cause: edits
// that don't lead to the new one exactly, or a digest that is not compared.
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
			t.Fatalf("%v, %v instead of %v", err, got, new)
		}
		data[rapid.IntRange(0, len(data)-1).Draw(t, "byte")] ^= byte(1 << rapid.IntRange(0, 7).Draw(t, "bit"))
		damaged := &apiv1.ConfigurationDelta{}
		if proto.Unmarshal(data, damaged) != nil {
			return
		}
		got, err = Apply(old, damaged)
		var base *BaseError
		var corrupt *CorruptError
		// The version is no part of the digest: the log gives it out.
		if err == nil && (damaged.ToVersion == d.ToVersion && !proto.Equal(got, new)) {
			t.Fatalf("damaged delta led to %v", got)
		}
		if err != nil && !errors.As(err, &base) && !errors.As(err, &corrupt) {
			t.Fatalf("untyped error %v", err)
		}
	})
}

// Symptom: a change of one job costs as much as the whole text. Sequence: finished
// jobs are taken out at the front, new ones put in at the end. Cause: one patch
// from the first to the last difference holds all that lies between.
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

// Symptom: an answer that another overtook sets a host back. Sequence: chains from
// two peers cross, one of them with a gap. Cause: a chain applied where it does
// not start.
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
