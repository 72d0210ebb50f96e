package control

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// LookupPath is the internal path at which a replica serves LookupHandler.
const LookupPath = "/submissions/lookup"

// SubmissionKey names a job that a caller submits.
type SubmissionKey struct {
	Host string `json:"host"`
	Path string `json:"path"`
	ID   string `json:"id"`
}

// SubmissionState is what the leader knows about the submissions of a job so far.
type SubmissionState int

const (
	// SubmissionInDoubt means that a submission of the job may be committed.
	SubmissionInDoubt SubmissionState = iota
	// SubmissionAbsent means that the job is not in the log and that no proposal of the leader may add it.
	SubmissionAbsent
	SubmissionAccepted
)

// LookupFunc returns the states of jobs if this replica leads. Errors: *NotLeaderError.
type LookupFunc func(context.Context, []SubmissionKey) ([]SubmissionState, error)

type lookupRequest struct {
	Jobs []SubmissionKey `json:"jobs"`
}

type lookupResponse struct {
	NotLeader     bool              `json:"not_leader,omitempty"`
	LeaderAddress string            `json:"leader_address,omitempty"`
	States        []SubmissionState `json:"states,omitempty"`
}

// LookupHandler serves lookups of other processes.
func LookupHandler(lookup LookupFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req lookupRequest
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		var resp lookupResponse
		var err error
		if resp.States, err = lookup(r.Context(), req.Jobs); err != nil {
			resp = lookupResponse{NotLeader: true}
			var notLeader *NotLeaderError
			if errors.As(err, &notLeader) {
				resp.LeaderAddress = notLeader.LeaderAddress
			}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(resp) // a client that has disconnected needs no response
	})
}

// LookupSubmissions asks the leader for the states of jobs. All are in doubt if no leader responds.
func (f *Forwarder) LookupSubmissions(ctx context.Context, keys []SubmissionKey) []SubmissionState {
	states := make([]SubmissionState, len(keys))
	body, err := json.Marshal(lookupRequest{keys})
	if err != nil {
		return states
	}
	f.tryHosts(ctx, "", true, true, func(ctx context.Context, address string) (string, bool) {
		resp, err := f.postLookup(ctx, address, body)
		if err != nil || resp.NotLeader || len(resp.States) != len(keys) {
			return resp.LeaderAddress, false
		}
		states = resp.States
		return "", true
	})
	return states
}

func (f *Forwarder) postLookup(ctx context.Context, address string, body []byte) (resp lookupResponse, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+LookupPath, bytes.NewReader(body))
	if err != nil {
		return resp, errors.Wrap(err, "lookup")
	}
	httpResp, err := f.client.Do(req)
	if err != nil {
		return resp, errors.Wrap(err, "lookup")
	}
	defer func() { _ = httpResp.Body.Close() }() // the error does not matter after the whole body is read
	data, err := io.ReadAll(httpResp.Body)
	if err == nil && httpResp.StatusCode != http.StatusOK {
		err = errors.Newf("status %d", httpResp.StatusCode)
	}
	if err == nil {
		err = json.Unmarshal(data, &resp)
	}
	return resp, errors.Wrap(err, "lookup")
}
