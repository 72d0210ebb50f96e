package state

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// applyScript applies commands, one per line in protojson with the expected part of the
// result after "=>", and reports each result that does not contain that part.
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

// Guards against a charge that runs twice under one key. The key is sent again with another
// body, after its window, or after its record was deleted; a key without a record must not
// be accepted as a new one while it could have been used before.
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

// Guards against a task that runs on two workers, exceeds its team's quota or starts before
// its dependencies have succeeded. A running job is removed from the configuration and
// declared again; its tasks must not be granted before the attempts of the removed job have
// ended, and a worker's list that is older than a grant must not count as the end of it.
func TestGrantsRespectDependenciesQuotaAndRemovedJobs(t *testing.T) {
	m := New()
	applyScript(t, m, `
{"submit":{"submissionId":"1","configuration":{"textDigest":"1","teams":[{"name":"t","quota":{"milliProcessors":"5"}}],"jobs":[{"name":"a","tasks":2,"team":"t"},{"name":"b","tasks":1,"dependsOn":["a"]},{"name":"c","tasks":1,"dependsOn":["gone"]}]}}} => VERDICT_ACCEPTED
{"registerWorker":{"worker":"w","incarnation":"1","capacity":{"milliProcessors":"9","memoryBytes":"9223372036854775807"},"reserved":{"memoryBytes":"1"}}} => VERDICT_ACCEPTED
{"place":{"grants":[{"task":"b@1/0","attempt":"1","worker":"w","workerIncarnation":"1"}]}} => job \"a\" has not succeeded
{"place":{"grants":[{"task":"c@1/0","attempt":"1","worker":"w","workerIncarnation":"1"}]}} => neither a job nor a service
{"place":{"grants":[{"task":"a@1/0","attempt":"1","worker":"w","workerIncarnation":"1","resources":{"memoryBytes":"9223372036854775807"}}]}} => not have enough free capacity
{"place":{"grants":[{"task":"a@1/0","attempt":"1","worker":"w","workerIncarnation":"1","resources":{"milliProcessors":"6"}}]}} => used up its quota
{"place":{"grants":[{"task":"a@1/0","attempt":"1","worker":"w","workerIncarnation":"1","resources":{"milliProcessors":"3"}}]}} => grants:{verdict:VERDICT_ACCEPTED}
{"place":{"grants":[{"task":"a@1/1","attempt":"1","worker":"w","workerIncarnation":"1","resources":{"milliProcessors":"3"}}]}} => used up its quota
{"registerWorker":{"worker":"w","incarnation":"1","capacity":{"milliProcessors":"9"}}} => VERDICT_ACCEPTED
{"place":{"grants":[{"task":"a@1/0","attempt":"2","worker":"w","workerIncarnation":"1"}]}} => the task is granted
{"submit":{"submissionId":"2","baseVersion":"1","configuration":{"textDigest":"2"}}} => configuration_version:2
{"submit":{"submissionId":"x","baseVersion":"1","configuration":{"textDigest":"x"}}} => winner_submission_id:"2"
{"submit":{"submissionId":"3","baseVersion":"2","configuration":{"textDigest":"3","jobs":[{"name":"a","tasks":1}]}}} => configuration_version:3
{"place":{"grants":[{"task":"a@3/0","attempt":"1","worker":"w","workerIncarnation":"1"}]}} => removed job of the same name have not ended
{"recordTasks":{"worker":"w","workerIncarnation":"1","ends":[{"task":{"task":"a@1/0","attempt":"1"},"kind":"END_KIND_STOPPED"}]}} => VERDICT_ACCEPTED
{"place":{"grants":[{"task":"a@1/0","attempt":"2","worker":"w","workerIncarnation":"1"},{"task":"a@3/0","attempt":"1","worker":"w","workerIncarnation":"1"}]}} => grants:{verdict:VERDICT_CONFLICT message:"no such task"} grants:{verdict:VERDICT_ACCEPTED}`)
}

// Guards against repeating work whose first attempt succeeded. A worker is disconnected, its
// task succeeds and its lease expires; the worker reports before or after the next attempt
// is granted. A late report must be recorded if there is no next attempt yet.
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

// snapshotSeeds returns valid snapshots of small states.
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

// FuzzRestore restores corrupted snapshots, and corrupted messages with a matching checksum.
// Restore must return an error, or restore a state whose invariants hold and whose snapshot
// restores to a state with the same snapshot.
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
			t.Fatalf("the snapshot of a restored state is refused: %v", err)
		}
		if third, _ := r.Snapshot(); !bytes.Equal(again, third) {
			t.Fatal("a restored state's snapshot differs")
		}
	})
}

// Guards against a charge that runs twice because its claim appears too young. The charge
// runs, the agent drops its record, and leadership moves to a host whose clock is behind; an
// age that is the difference of two hosts' clocks is too low, and the agent then reports
// the charge as not run.
func TestClaimAgeUsesOneClock(t *testing.T) {
	for _, c := range []struct {
		claimed, queried         int64
		claimedTerm, queriedTerm uint64
		want                     int64
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
		// A later time from a previous term must not reduce the age.
		m.Apply(1, &apiv1.Command{TimeMs: 8000, ClockTerm: 1})
		claim("first", c.claimed, c.claimedTerm)
		if got := claim("second", c.queried, c.queriedTerm).GetStandingAgeMs(); got != c.want {
			t.Errorf("%+v: age %d", c, got)
		}
	}
}
