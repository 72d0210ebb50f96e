package agent_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// BenchmarkDispatch compares a request straight to a target with the same through the
// agent's Dispatch, with 1 and 32 in flight per processor.
func BenchmarkDispatch(b *testing.B) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 256))
	}))
	defer target.Close()
	e := &fakeEntry{respond: func(*apiv1.HeartbeatRequest) *apiv1.HeartbeatResponse {
		return &apiv1.HeartbeatResponse{ConfirmedAgeMs: -1}
	}}
	r := newHarness(b, e, nil, nil)
	r.callLocal("PUT", "t1", fmt.Sprintf(
		`{"service":"bookings","address":%q,"ttl_ms":600000,"slots":4096,"connections":4096}`, addressOf(target)))
	transport := &http.Transport{MaxIdleConnsPerHost: 4096}
	client := &http.Client{Transport: transport}
	r.client = apiv1.NewAgentProtobufClient("http://"+r.agent.Address(), client)
	var n atomic.Int64
	paths := map[string]func() error{
		"direct": func() error {
			resp, err := client.Get(target.URL)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			_, err = io.Copy(io.Discard, resp.Body)
			return err
		},
		"agent": func() error {
			resp, err := r.dispatch(context.Background(), fmt.Sprint(n.Add(1)), "GET")
			if err == nil && resp.Outcome != apiv1.Outcome_OUTCOME_ANSWERED {
				err = fmt.Errorf("%v: %v %s", resp.Outcome, resp.Reason, resp.Message)
			}
			return err
		},
	}
	for _, parallel := range []int{1, 32} {
		for _, name := range []string{"direct", "agent"} {
			b.Run(fmt.Sprintf("%s/%d", name, parallel), func(b *testing.B) {
				b.SetParallelism(parallel)
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						if err := paths[name](); err != nil {
							b.Error(err)
						}
					}
				})
			})
		}
	}
}
