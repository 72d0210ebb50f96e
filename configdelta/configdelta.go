// Package configdelta makes and applies the difference between two versions of
// the configuration, so that a change costs what it changes and not the whole
// text (docs/decisions/0009-configuration-deltas.md). It does no I/O and never
// changes the configurations it is given; results share their items.
package configdelta

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// BaseError says that a delta does not start at the configuration at hand.
type BaseError struct{ Have, From, To uint64 }

// Error implements error.
func (e *BaseError) Error() string {
	return fmt.Sprintf("delta leads from version %d to %d, not from %d", e.From, e.To, e.Have)
}

// CorruptError says that a delta does not lead to the configuration it names.
type CorruptError struct{ Cause string }

// Error implements error.
func (e *CorruptError) Error() string { return "delta can't be applied: " + e.Cause }

var (
	services = differ[*apiv1.Service]{(*apiv1.Service).GetName, equal[*apiv1.Service]}
	jobs     = differ[*apiv1.Job]{(*apiv1.Job).GetName, equal[*apiv1.Job]}
	teams    = differ[*apiv1.Team]{(*apiv1.Team).GetName, equal[*apiv1.Team]}
	lines    = differ[string]{func(s string) string { return s }, func(a, b string) bool { return a == b }}
)

func equal[T proto.Message](a, b T) bool { return proto.Equal(a, b) }

// Diff returns the delta between two configurations. Its versions are theirs.
func Diff(old, new *apiv1.Configuration) *apiv1.ConfigurationDelta {
	sum, _ := digest(new)
	d := &apiv1.ConfigurationDelta{
		FromVersion: old.GetVersion(),
		ToVersion:   new.GetVersion(),
		Text:        diffText(old.GetText(), new.GetText()),
		TextDigest:  new.GetTextDigest(),
		Digest:      sum,
	}
	for _, e := range services.diff(old.GetServices(), new.GetServices()) {
		d.Services = append(d.Services, &apiv1.ServiceEdit{Keep: uint32(e.keep), Drop: uint32(e.drop), Insert: e.insert})
	}
	for _, e := range jobs.diff(old.GetJobs(), new.GetJobs()) {
		d.Jobs = append(d.Jobs, &apiv1.JobEdit{Keep: uint32(e.keep), Drop: uint32(e.drop), Insert: e.insert})
	}
	for _, e := range teams.diff(old.GetTeams(), new.GetTeams()) {
		d.Teams = append(d.Teams, &apiv1.TeamEdit{Keep: uint32(e.keep), Drop: uint32(e.drop), Insert: e.insert})
	}
	if !proto.Equal(old.GetPolicy(), new.GetPolicy()) {
		d.PolicyChanged, d.Policy = true, new.GetPolicy()
	}
	return d
}

// diffText compares line by line and counts in bytes.
func diffText(old, new string) []*apiv1.TextEdit {
	if old == new {
		return nil
	}
	was := strings.SplitAfter(old, "\n")
	var out []*apiv1.TextEdit
	at := 0
	for _, e := range lines.diff(was, strings.SplitAfter(new, "\n")) {
		dropped := at + e.keep
		out = append(out, &apiv1.TextEdit{
			Keep:   byteLength(was[at:dropped]),
			Drop:   byteLength(was[dropped : dropped+e.drop]),
			Insert: strings.Join(e.insert, ""),
		})
		at = dropped + e.drop
	}
	return out
}

func byteLength(parts []string) (n uint32) {
	for _, p := range parts {
		n += uint32(len(p))
	}
	return n
}

// Apply returns the configuration that a delta leads to. Errors: *BaseError,
// *CorruptError.
func Apply(old *apiv1.Configuration, d *apiv1.ConfigurationDelta) (*apiv1.Configuration, error) {
	if d.GetFromVersion() != old.GetVersion() || d.GetToVersion() <= d.GetFromVersion() {
		return nil, &BaseError{Have: old.GetVersion(), From: d.GetFromVersion(), To: d.GetToVersion()}
	}
	c := &apiv1.Configuration{Version: d.ToVersion, Policy: old.GetPolicy(), TextDigest: d.TextDigest}
	if d.PolicyChanged {
		c.Policy = d.Policy
	}
	var fits [4]bool
	c.Services, fits[0] = applyEdits(old.GetServices(), editsFromMessages(d.Services, (*apiv1.ServiceEdit).GetInsert))
	c.Jobs, fits[1] = applyEdits(old.GetJobs(), editsFromMessages(d.Jobs, (*apiv1.JobEdit).GetInsert))
	c.Teams, fits[2] = applyEdits(old.GetTeams(), editsFromMessages(d.Teams, (*apiv1.TeamEdit).GetInsert))
	c.Text, fits[3] = applyText(old.GetText(), d.Text)
	if fits != [4]bool{true, true, true, true} {
		return nil, &CorruptError{Cause: "it reaches past the end of what it changes"}
	}
	if sum, ok := digest(c); !ok || sum != d.Digest {
		return nil, &CorruptError{Cause: "the digest of the result does not match"}
	}
	return c, nil
}

// editMessage is what the edits of every list have in common.
type editMessage interface {
	GetKeep() uint32
	GetDrop() uint32
}

func editsFromMessages[E editMessage, T any](in []E, insert func(E) []T) []edit[T] {
	out := make([]edit[T], 0, len(in))
	for _, e := range in {
		out = append(out, edit[T]{keep: int(e.GetKeep()), drop: int(e.GetDrop()), insert: insert(e)})
	}
	return out
}

func applyText(old string, edits []*apiv1.TextEdit) (string, bool) {
	if len(edits) == 0 {
		return old, true
	}
	var b strings.Builder
	for _, e := range edits {
		keep, drop := int(e.GetKeep()), int(e.GetDrop())
		if keep > len(old) || drop > len(old)-keep {
			return "", false
		}
		b.WriteString(old[:keep])
		b.WriteString(e.GetInsert())
		old = old[keep+drop:]
	}
	b.WriteString(old)
	return b.String(), true
}

// ApplyChain applies deltas one after another. Those that lead no further than
// the configuration at hand are passed over: another answer may have been quicker.
func ApplyChain(old *apiv1.Configuration, chain []*apiv1.ConfigurationDelta) (*apiv1.Configuration, error) {
	c := old
	for _, d := range chain {
		if d.GetToVersion() <= c.GetVersion() {
			continue
		}
		next, err := Apply(c, d)
		if err != nil {
			return nil, err
		}
		c = next
	}
	return c, nil
}

// digest covers all but the version. Replicas that run different builds must
// come to the same one: configuration has no maps and no oneofs, whose order
// could differ, and new fields get the highest numbers, so a build that does not
// know a field still encodes it in the same place.
//
// It is false where the text is not UTF-8, as when it was cut within a character:
// such a text can't be encoded and must not be adopted.
func digest(c *apiv1.Configuration) (sum uint64, ok bool) {
	plain := &apiv1.Configuration{
		Services: c.GetServices(), Jobs: c.GetJobs(), Teams: c.GetTeams(),
		Policy: c.GetPolicy(), TextDigest: c.GetTextDigest(), Text: c.GetText(),
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(plain)
	return xxhash.Sum64(data), err == nil
}
