package fakes

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"
)

// startAgentStub counts what a target announces.
func startAgentStub(t *testing.T) (address string, puts, deletes *atomic.Int64) {
	puts, deletes = new(atomic.Int64), new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodPut:
			puts.Add(1)
		case http.MethodDelete:
			deletes.Add(1)
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), puts, deletes
}

func localListener(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

const requestCount = 400

// A caller straight at a target that spoils answers in every way: the caller
// never takes a spoilt answer for its own, each request is in the target's
// record, and the target takes its announcement back.
func TestCallerDetectsEveryFault(t *testing.T) {
	agent, puts, deletes := startAgentStub(t)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()

	record, _ := NewRecorder[ExecutedRequest]("")
	target := NewTarget(TargetConfig{
		Announcement: Announcement{Name: "t1", Service: "s", TTLMS: 60},
		Faults:       TargetFaults{Truncated: 0.1, Swapped: 0.1, Failed: 0.1, Closed: 0.1},
		Seed:         3,
	}, record)
	listener := localListener(t)
	wg.Go(func() { _ = target.Serve(ctx, listener, agent) })

	calls, _ := NewRecorder[CallRecord]("")
	caller := NewCaller(CallerConfig{
		Name: "c", Path: "/s", InFlight: 8, Requests: requestCount, NonIdempotent: 1, AnswerBytes: 2000, Seed: 1,
		Entries: []EntryAddress{{Address: listener.Addr().String()}},
	}, calls)
	caller.Run(ctx)

	counts := map[Outcome]int{}
	own := 0
	for _, c := range calls.Values() {
		if c.Result != nil {
			counts[c.Result.Outcome]++
			if c.Result.Correct {
				own++
			}
		}
	}
	if counts[Lost] == 0 || counts[Unnamed] == 0 || own == 0 || own >= counts[Unnamed] {
		t.Errorf("outcomes %v with %d own answers: want lost, foreign and own ones", counts, own)
	}
	if ran := len(record.Values()); ran != requestCount {
		t.Errorf("the target ran %d of %d requests", ran, requestCount)
	}
	cancel()
	wg.Wait()
	if puts.Load() < 2 || deletes.Load() != 1 {
		t.Errorf("the agent saw %d announcements and %d leaves, want renewals and one leave", puts.Load(), deletes.Load())
	}
}
