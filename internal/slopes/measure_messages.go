package main

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/configdelta"
)

// measureMessages measures the encoded sizes of protocol messages.
func (r *recorder) measureMessages() {
	r.measure("beatLease", "an agent's steady heartbeat, by leases; no targets", "B", "lease", leaseSizes,
		func(n int) float64 { return encodedSize(heartbeatRequest(3, n, 0)) })
	r.measure("beatTarget", "an agent's steady heartbeat, by targets; no leases", "B", "target", leaseSizes,
		func(n int) float64 { return encodedSize(heartbeatRequest(3, 0, n)) })
	r.measure("beatFull", "an agent's first heartbeat, with its announcement, by targets", "B", "target", leaseSizes, func(n int) float64 {
		hb := heartbeatRequest(3, 0, n)
		hb.Agent = agentInfo(3, n)
		hb.Worker.Info = workerInfo(3)
		return encodedSize(hb)
	})
	r.measure("orders", "the answer to a heartbeat, by starts ordered", "B", "start", leaseSizes, func(n int) float64 {
		resp := heartbeatResponse(3)
		for i := range n {
			resp.Orders.Start = append(resp.Orders.Start, &apiv1.StartTask{
				Task: &apiv1.TaskAttempt{Task: taskName(3, i), Attempt: 2}, Kind: "kind-03", Grant: taskSize(),
				Checkpoint: fmt.Sprintf("%s/2/000041", taskName(3, i)), ExpectedRunMs: 26_000,
			})
		}
		return encodedSize(resp)
	})
	r.measure("renewBatch", "renewals to the leader, 7 leases and 6 targets each", "B", "worker", workerSizes,
		func(n int) float64 { return encodedSize(renewRequest(n, leasesPerWorker, targetsPerWorker)) })
	r.measure("renewBare", "renewals that name neither tasks nor targets", "B", "worker", workerSizes,
		func(n int) float64 { return encodedSize(renewRequest(n, 0, 0)) })
	r.measure("renewAnswer", "the leader's answers without orders", "B", "worker", workerSizes,
		func(n int) float64 { return encodedSize(renewAnswer(n)) })
	r.measure("renewCodec", "decoding renewals and encoding the answers", "ns", "worker", workerSizes, func(n int) float64 {
		in, err := proto.Marshal(renewRequest(n, leasesPerWorker, targetsPerWorker))
		must(err)
		out := renewAnswer(n)
		return costPerCall(func() {
			must(proto.Unmarshal(in, &apiv1.RenewRequest{}))
			_, err := proto.Marshal(out)
			must(err)
		})
	})
	r.measure("loadOnAnswer", "a target's load on the answers to requests", "B", "answer", batchSizes, func(n int) float64 {
		with, without := &apiv1.DispatchResponse{Load: target(1).Load}, &apiv1.DispatchResponse{}
		return float64(n) * (encodedSize(with) - encodedSize(without))
	})
	r.measureConfigurationMessages()
	r.measureDeltaMessages()
	r.measureCommandMessages()
}

func renewRequest(n, leases, targets int) *apiv1.RenewRequest {
	req := &apiv1.RenewRequest{}
	for i := range n {
		req.Workers = append(req.Workers, workerHeartbeat(i, leases, targets))
	}
	return req
}

func renewAnswer(n int) *apiv1.RenewResponse {
	resp := &apiv1.RenewResponse{Leader: true}
	for i := range n {
		resp.Orders = append(resp.Orders, heartbeatResponse(i).Orders)
	}
	return resp
}

// measureConfigurationMessages measures messages that carry a whole configuration.
func (r *recorder) measureConfigurationMessages() {
	r.measure("submitJob", "a submission: compiled jobs and text", "B", "job", jobSizes,
		func(n int) float64 { return encodedSize(submit(1, 1, configuration(n, 1, 0, 0))) })
	r.measure("textJob", "the operators' text", "B", "job", jobSizes,
		func(n int) float64 { return float64(len(configuration(n, 1, 0, 0).Text)) })
	r.measure("submitTeam", "a submission: compiled teams, one service each, and text", "B", "team", teamSizes,
		func(n int) float64 { return encodedSize(submit(1, 1, configuration(0, 1, n, n))) })
	r.measure("agentService", "the configuration in a heartbeat's answer, which leaves jobs and text out", "B", "service", teamSizes,
		func(n int) float64 {
			c := configuration(11, 1, n, n)
			return encodedSize(&apiv1.HeartbeatResponse{Configuration: &apiv1.Configuration{
				Version: c.Version, Services: c.Services, Policy: c.Policy,
			}})
		})
}

// measureDeltaMessages measures messages that carry a change of configuration as a delta.
func (r *recorder) measureDeltaMessages() {
	old := jobWindow(0, configuredJobs)
	deltas := map[int]*apiv1.ConfigurationDelta{}
	delta := func(n int) *apiv1.ConfigurationDelta {
		if deltas[n] == nil {
			deltas[n] = configdelta.Diff(old, jobWindow(n, configuredJobs))
		}
		return deltas[n]
	}
	r.measure("submitDelta", "a submission by delta: jobs taken out at the front of 12,333 and as many put in at the end", "B", "job", batchSizes,
		func(n int) float64 { return encodedSize(submitDelta(1, configurationVersion, delta(n))) })
	r.measure("syncDelta", "the same in the answer to another entry's push", "B", "job", batchSizes, func(n int) float64 {
		d := submitDelta(1, configurationVersion, delta(n)).GetSubmit().Delta
		return encodedSize(&apiv1.SyncResponse{Deltas: []*apiv1.ConfigurationDelta{d}})
	})
	r.measure("submitStanding", "a submission by delta, 8 jobs replaced, by jobs that stand in the text", "B", "job", jobSizes, func(n int) float64 {
		return encodedSize(submitDelta(1, configurationVersion, configdelta.Diff(jobWindow(0, n), jobWindow(jobsPerChange, n))))
	})
	r.measure("agentDelta", "the delta in a heartbeat's answer, by changed services of 390", "B", "service", leaseSizes, func(n int) float64 {
		old, new := &apiv1.Configuration{Version: configurationVersion}, &apiv1.Configuration{Version: configurationVersion + 1}
		for i := range teams {
			was, is := service(i), service(i)
			// Changed services are far apart, so that no two share an edit.
			if i%13 == 0 && i/13 < n {
				is.Slots++
			}
			old.Services, new.Services = append(old.Services, was), append(new.Services, is)
		}
		return encodedSize(&apiv1.HeartbeatResponse{Deltas: []*apiv1.ConfigurationDelta{configdelta.Diff(old, new)}})
	})
}

// measureCommandMessages measures commands of the log.
func (r *recorder) measureCommandMessages() {
	r.measure("grantEntry", "a Place command", "B", "grant", batchSizes, func(n int) float64 {
		cmd := placeCommand()
		for i := range n {
			cmd.GetPlace().Grants = append(cmd.GetPlace().Grants, grant(i/7, i/7, i%7, 2))
		}
		return encodedSize(cmd)
	})
	r.measure("endEntry", "a worker's RecordTasks command", "B", "end", leaseSizes,
		func(n int) float64 { return encodedSize(recordStops(3, n, 2)) })
	r.measure("expireEntry", "an Expire command with checkpoints", "B", "lease", leaseSizes,
		func(n int) float64 { return encodedSize(expire(3, n)) })
	r.measure("registerEntry", "RegisterWorker commands", "B", "worker", workerSizes, func(n int) (sum float64) {
		for i := range n {
			sum += encodedSize(register(i))
		}
		return sum
	})
	r.measure("claimEntry", "Claim and Settle commands, a response of 200 bytes", "B", "claim", batchSizes, func(n int) (sum float64) {
		for i := range n {
			sum += encodedSize(claim(i)) + encodedSize(settle(i))
		}
		return sum
	})
}
