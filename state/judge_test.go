package state

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// applyScript applies commands, one a line in protojson with an expectation after "=>",
// and reports each result that does not contain the expectation.
func applyScript(t *testing.T, m *Machine, script string) {
	t.Helper()
	for _, line := range strings.Split(strings.TrimSpace(script), "\n") {
		text, want, _ := strings.Cut(line, "=>")
		cmd := &apiv1.Command{}
		if err := protojson.Unmarshal([]byte(text), cmd); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		res := m.Apply(m.index+1, cmd)
		if got := fmt.Sprint(res); !strings.Contains(strings.Join(strings.Fields(got), " "), strings.TrimSpace(want)) {
			t.Errorf("%s\n\tgot %s", line, got)
		}
		if err := m.Check(); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
	}
}

// Symptom: a charge runs again under a key that was used before. Sequence: the
// key is resent with another body, after its window, or so late that its record
// is forgotten. Cause: a key that is no longer known passes for a new one.
func TestKeysOutsideTheirWindowAreRefused(t *testing.T) {
	m := New()
	applyScript(t, m, `
{"timeMs":1000,"claim":{"key":"k","requestId":"a","attempt":1,"windowMs":100,"requestDigest":"AA=="}} => granted:true
{"timeMs":1000,"claim":{"key":"k","requestId":"b","attempt":1,"windowMs":100,"requestDigest":"AQ=="}} => REASON_KEY_REUSED
{"timeMs":1000,"claim":{"key":"k","requestId":"b","attempt":1,"windowMs":100,"requestDigest":"AA=="}} => REASON_KEY_IN_PROGRESS
{"timeMs":1050,"settle":{"key":"k","requestId":"a","attempt":1,"outcome":"OUTCOME_ANSWERED","response":{"status":201,"body":"AAAA"}}} => VERDICT_ACCEPTED
{"timeMs":1050,"settle":{"key":"k","requestId":"a","attempt":1,"outcome":"OUTCOME_NOT_RUN"}} => VERDICT_CONFLICT
{"timeMs":1099,"claim":{"key":"k","requestId":"b","attempt":1,"requestDigest":"AA=="}} => status:201
{"timeMs":1100,"claim":{"key":"k","requestId":"c","attempt":1,"requestDigest":"AA=="}} => REASON_KEY_EXPIRED
{"timeMs":1199,"claim":{"key":"k","requestId":"c","attempt":1,"requestDigest":"AA=="}} => REASON_KEY_EXPIRED
{"timeMs":1200,"claim":{"key":"k","requestId":"d","attempt":1,"windowMs":100,"keyTimeMs":1000,"requestDigest":"AA=="}} => REASON_KEY_EXPIRED
{"timeMs":1200,"claim":{"key":"k","requestId":"d","attempt":2,"replacesAttempt":1,"requestDigest":"AA=="}} => REASON_KEY_EXPIRED
{"timeMs":900,"claim":{"key":"k","requestId":"e","attempt":1,"windowMs":100,"keyTimeMs":1101,"requestDigest":"AA=="}} => granted:true`)
	if m.claims.responseBytes != 0 || len(m.claims.byKey) != 1 {
		t.Fatalf("%d bytes of responses, %d claims", m.claims.responseBytes, len(m.claims.byKey))
	}
}

// Symptom: a job's task runs in two places, or beyond its team's limit, or before
// what it depends on. Sequence: the job leaves the text while it runs and returns.
// Cause: the new life starts before the attempts of the old one have ended, or a
// worker's list that is older than a grant is taken for proof that it ended.
func TestGrantsRespectDependenciesQuotaAndRemovedJobs(t *testing.T) {
	m := New()
	applyScript(t, m, `
{"submit":{"submissionId":"1","configuration":{"textDigest":"1","teams":[{"name":"t","quota":{"milliProcessors":"5"}}],"jobs":[{"name":"a","tasks":2,"team":"t"},{"name":"b","tasks":1,"dependsOn":["a"]},{"name":"c","tasks":1,"dependsOn":["gone"]}]}}} => VERDICT_ACCEPTED
{"registerWorker":{"worker":"w","incarnation":"1","capacity":{"milliProcessors":"9","memoryBytes":"9223372036854775807"},"reserved":{"memoryBytes":"1"}}} => VERDICT_ACCEPTED
{"place":{"grants":[{"task":"b@1/0","attempt":"1","worker":"w","workerIncarnation":"1"}]}} => job \"a\" has not succeeded
{"place":{"grants":[{"task":"c@1/0","attempt":"1","worker":"w","workerIncarnation":"1"}]}} => neither a job nor a service
{"place":{"grants":[{"task":"a@1/0","attempt":"1","worker":"w","workerIncarnation":"1","resources":{"memoryBytes":"9223372036854775807"}}]}} => not enough room
{"place":{"grants":[{"task":"a@1/0","attempt":"1","worker":"w","workerIncarnation":"1","resources":{"milliProcessors":"6"}}]}} => used up its quota
{"place":{"grants":[{"task":"a@1/0","attempt":"1","worker":"w","workerIncarnation":"1","resources":{"milliProcessors":"3"}}]}} => grants:{verdict:VERDICT_ACCEPTED}
{"place":{"grants":[{"task":"a@1/1","attempt":"1","worker":"w","workerIncarnation":"1","resources":{"milliProcessors":"3"}}]}} => used up its quota
{"registerWorker":{"worker":"w","incarnation":"1","capacity":{"milliProcessors":"9"}}} => VERDICT_ACCEPTED
{"place":{"grants":[{"task":"a@1/0","attempt":"2","worker":"w","workerIncarnation":"1"}]}} => the task is granted
{"submit":{"submissionId":"2","baseVersion":"1","configuration":{"textDigest":"2"}}} => configuration_version:2
{"submit":{"submissionId":"x","baseVersion":"1","configuration":{"textDigest":"x"}}} => winner_submission_id:"2"
{"submit":{"submissionId":"3","baseVersion":"2","configuration":{"textDigest":"3","jobs":[{"name":"a","tasks":1}]}}} => configuration_version:3
{"place":{"grants":[{"task":"a@3/0","attempt":"1","worker":"w","workerIncarnation":"1"}]}} => earlier life have not ended
{"recordTasks":{"worker":"w","workerIncarnation":"1","ends":[{"task":{"task":"a@1/0","attempt":"1"},"kind":"END_KIND_STOPPED"}]}} => VERDICT_ACCEPTED
{"place":{"grants":[{"task":"a@1/0","attempt":"2","worker":"w","workerIncarnation":"1"},{"task":"a@3/0","attempt":"1","worker":"w","workerIncarnation":"1"}]}} => grants:{verdict:VERDICT_CONFLICT message:"no such task"} grants:{verdict:VERDICT_ACCEPTED}`)
}

// Symptom: work is done again though its first run succeeded. Sequence: a worker
// is cut off, its task succeeds, its lease runs out; the worker is back before the
// next attempt is granted, or after. Cause: a late report that is only dropped.
func TestLateEndsBeforeNextAttempt(t *testing.T) {
	applyScript(t, New(), `
{"submit":{"submissionId":"1","configuration":{"textDigest":"1","jobs":[{"name":"a","tasks":2},{"name":"b","tasks":1,"dependsOn":["a"]}]}}} => VERDICT_ACCEPTED
{"registerWorker":{"worker":"w","incarnation":"1"}} => VERDICT_ACCEPTED
{"registerWorker":{"worker":"v","incarnation":"1"}} => VERDICT_ACCEPTED
{"place":{"grants":[{"task":"a@1/0","attempt":"1","worker":"w","workerIncarnation":"1"},{"task":"a@1/1","attempt":"1","worker":"w","workerIncarnation":"1"}]}} => VERDICT_ACCEPTED
{"expire":{"tasks":[{"task":"a@1/0","attempt":"1"},{"task":"a@1/1","attempt":"1"}]}} => VERDICT_ACCEPTED
{"recordTasks":{"worker":"v","workerIncarnation":"1","ends":[{"task":{"task":"a@1/0","attempt":"1"},"kind":"END_KIND_SUCCEEDED"}]}} => VERDICT_REPEATED
{"recordTasks":{"worker":"w","workerIncarnation":"1","ends":[{"task":{"task":"a@1/0","attempt":"1"},"kind":"END_KIND_SUCCEEDED"}]}} => VERDICT_ACCEPTED
{"place":{"grants":[{"task":"a@1/0","attempt":"2","worker":"v","workerIncarnation":"1"}]}} => the task is succeeded
{"recordTasks":{"worker":"w","workerIncarnation":"1","ends":[{"task":{"task":"a@1/1","attempt":"1"},"kind":"END_KIND_STOPPED","checkpoint":"c7"}]}} => VERDICT_ACCEPTED
{"place":{"grants":[{"task":"a@1/1","attempt":"2","worker":"v","workerIncarnation":"1"}]}} => grants:{verdict:VERDICT_ACCEPTED}
{"recordTasks":{"worker":"w","workerIncarnation":"1","ends":[{"task":{"task":"a@1/1","attempt":"1"},"kind":"END_KIND_SUCCEEDED"}]}} => VERDICT_REPEATED
{"recordTasks":{"worker":"v","workerIncarnation":"1","ends":[{"task":{"task":"a@1/1","attempt":"2"},"kind":"END_KIND_SUCCEEDED"}]}} => VERDICT_ACCEPTED
{"place":{"grants":[{"task":"b@1/0","attempt":"1","worker":"v","workerIncarnation":"1"}]}} => grants:{verdict:VERDICT_ACCEPTED}`)
}

// snapshotSeeds are sound snapshots of small states.
func snapshotSeeds() [][]byte {
	m := New()
	empty, _ := m.Snapshot()
	cmds := []string{
		`{"submit":{"submissionId":"1","configuration":{"textDigest":"1","jobs":[{"name":"a","tasks":2},{"name":"b","tasks":1,"dependsOn":["a"]}]}}}`,
		`{"registerWorker":{"worker":"w","incarnation":"1","capacity":{"milliProcessors":"9"}}}`,
		`{"place":{"grants":[{"task":"a@1/0","attempt":"1","worker":"w","workerIncarnation":"1","resources":{"milliProcessors":"3"}}]}}`,
		`{"claim":{"key":"k","requestId":"a","attempt":1}}`,
		`{"submit":{"submissionId":"2","baseVersion":"1","configuration":{"textDigest":"2"}}}`,
	}
	for i, text := range cmds {
		cmd := &apiv1.Command{}
		if err := protojson.Unmarshal([]byte(text), cmd); err != nil {
			panic(err)
		}
		m.Apply(uint64(i+1), cmd)
	}
	full, _ := m.Snapshot()
	return [][]byte{empty, full}
}

// FuzzRestore feeds the snapshot reader with damaged bytes, and with damaged
// messages under a checksum that matches. It must refuse them, or restore a state
// whose invariants hold and that gives the same bytes again.
func FuzzRestore(f *testing.F) {
	for _, s := range snapshotSeeds() {
		f.Add(s, false)
		f.Add(s[len(snapshotMagic)+checksumBytes:], true)
		for i := range 8 {
			damaged := bytes.Clone(s[len(snapshotMagic)+checksumBytes:])
			if len(damaged) > 0 {
				damaged[(i*37)%len(damaged)] ^= 1 << i
			}
			f.Add(damaged, true)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, seal bool) {
		if seal {
			data = addSnapshotHeader(data)
		}
		m := New()
		if m.Restore(data) != nil {
			if m.index != 0 || len(m.tasks) != 0 {
				t.Fatal("a refused snapshot has changed the state")
			}
			return
		}
		again, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		r := New()
		if err := r.Restore(again); err != nil {
			t.Fatalf("its own snapshot is refused: %v", err)
		}
		if third, _ := r.Snapshot(); !bytes.Equal(again, third) {
			t.Fatal("a restored state's snapshot differs")
		}
	})
}

// Symptom: a resend is told "not run" of a charge that ran long ago, and it runs
// again. Sequence: the charge runs, the agent drops its record, leadership moves
// to a host whose clock is behind, and the agent is told too low an age. Cause: the
// difference of two hosts' clocks was taken for an age.
func TestClaimAgeUsesOneClock(t *testing.T) {
	for _, c := range []struct {
		claimed, asked         int64
		claimedTerm, askedTerm uint64
		want                   int64
	}{
		{1000, 6000, 2, 2, 5001},
		{1000, 1000, 2, 2, 1},
		{1000, 6000, 2, 3, 0},
		{9000, 6000, 2, 3, 0},
		{1000, 6000, 0, 0, 0},
	} {
		m := New()
		claim := func(id string, at int64, term uint64) *apiv1.ClaimResult {
			return m.Apply(m.Index()+1, &apiv1.Command{TimeMs: at, ClockTerm: term, Body: &apiv1.Command_Claim{
				Claim: &apiv1.Claim{Service: "s", Key: "k", RequestId: id, Attempt: 1}}}).GetClaim()
		}
		// A time of an earlier term that is ahead must not shorten the age.
		m.Apply(1, &apiv1.Command{TimeMs: 8000, ClockTerm: 1})
		claim("first", c.claimed, c.claimedTerm)
		if got := claim("second", c.asked, c.askedTerm).GetStandingAgeMs(); got != c.want {
			t.Errorf("%+v: age %d", c, got)
		}
	}
}
