package admin

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"unicode"

	"github.com/julienschmidt/httprouter"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/configdelta"
	"github.com/cairnlift/cairnlift/spec"
)

func (h *handler) submit(r *http.Request, _ httprouter.Params) (any, error) {
	var req SubmitRequest
	if err := decodeBody(r, maxTextBodyBytes, &req); err != nil {
		return nil, err
	}
	if err := validateName("submission_id", req.SubmissionID); err != nil {
		return nil, err
	}
	if err := validateName("operator", req.Operator); err != nil {
		return nil, err
	}
	c, err := parseConfiguration(req.Text)
	if err != nil {
		return nil, err
	}
	submit := &apiv1.Submit{SubmissionId: req.SubmissionID, BaseVersion: req.BaseVersion, Operator: req.Operator}
	h.setContent(submit, c)
	res, err := h.propose(r.Context(), &apiv1.Command{Body: &apiv1.Command_Submit{Submit: submit}})
	if err != nil {
		return nil, err
	}
	return &SubmitResponse{
		Version:  res.GetConfigurationVersion(),
		Digest:   c.TextDigest,
		Repeated: res.GetVerdict() == apiv1.Verdict_VERDICT_REPEATED,
	}, nil
}

// setContent puts the change into a submission when the version that the text was made
// from is the one here and that is shorter, otherwise the whole configuration.
//
// A version that has passed here has passed in the log: what is left to say is
// whether this is the submission that made the next one, and its id and digest
// tell. With the whole in it, the resend of a change to a text that no log entry
// holds would be refused as too large, though the change is in force.
func (h *handler) setContent(s *apiv1.Submit, c *apiv1.Configuration) {
	base := h.backend.Configuration()
	if base.GetVersion() > s.BaseVersion {
		s.Delta = &apiv1.ConfigurationDelta{FromVersion: s.BaseVersion, ToVersion: s.BaseVersion + 1, TextDigest: c.TextDigest}
		return
	}
	if base.GetVersion() == s.BaseVersion {
		d := configdelta.Diff(base, c)
		d.ToVersion = s.BaseVersion + 1
		if proto.Size(d) < proto.Size(c) {
			s.Delta = d
			return
		}
	}
	s.Configuration = c
}

func (h *handler) validate(r *http.Request, _ httprouter.Params) (any, error) {
	var req ValidateRequest
	if err := decodeBody(r, maxTextBodyBytes, &req); err != nil {
		return nil, err
	}
	c, err := parseConfiguration(req.Text)
	if err != nil {
		return nil, err
	}
	current := h.backend.Configuration()
	return &ValidateResponse{Digest: c.TextDigest, Version: current.GetVersion(), Changes: spec.Diff(current, c)}, nil
}

func parseConfiguration(text string) (*apiv1.Configuration, error) {
	if len(text) > spec.MaxTextBytes {
		return nil, Errorf(CodeTooLarge, "the text has %d bytes, more than the %d allowed", len(text), spec.MaxTextBytes)
	}
	c, problems := spec.Parse([]byte(text))
	if len(problems) > 0 {
		e := Errorf(CodeInvalid, "the text is not valid; nothing was changed")
		e.Problems = problems
		return nil, e
	}
	return c, nil
}

func (h *handler) cancel(r *http.Request, _ httprouter.Params) (any, error) {
	var req CancelRequest
	if err := decodeBody(r, maxBodyBytes, &req); err != nil {
		return nil, err
	}
	if len(req.Jobs) == 0 || len(req.Jobs) > maxCanceledJobs {
		return nil, Errorf(CodeInvalid, "a cancellation names between 1 and %d jobs", maxCanceledJobs)
	}
	if err := validateName("operator", req.Operator); err != nil {
		return nil, err
	}
	if err := h.checkJobsExist(req.Jobs); err != nil {
		return nil, err
	}
	res, err := h.propose(r.Context(), &apiv1.Command{Body: &apiv1.Command_Cancel{Cancel: &apiv1.Cancel{
		Jobs: req.Jobs, Operator: req.Operator, Reason: req.Reason,
	}}})
	if err != nil {
		return nil, err
	}
	return &CancelResponse{Repeated: res.GetVerdict() == apiv1.Verdict_VERDICT_REPEATED}, nil
}

// checkJobsExist refuses a cancellation with an unknown name as a whole: it is most
// likely misspelt, and the operator should not have to find out which part ran.
func (h *handler) checkJobsExist(names []string) error {
	known := map[string]bool{}
	for _, j := range h.backend.Configuration().GetJobs() {
		known[j.GetName()] = true
	}
	for _, name := range names {
		if !known[name] {
			return Errorf(CodeNotFound, "there is no job %.80q; nothing was canceled", name)
		}
	}
	return nil
}

func (h *handler) drain(r *http.Request, _ httprouter.Params) (any, error) {
	var req DrainRequest
	if err := decodeBody(r, maxBodyBytes, &req); err != nil {
		return nil, err
	}
	if err := validateName("name", req.Name); err != nil {
		return nil, err
	}
	if !slices.Contains([]string{"", KindWorker, KindTarget}, req.Kind) {
		return nil, Errorf(CodeInvalid, "the kind must be %s or %s", KindWorker, KindTarget)
	}
	return h.backend.Drain(r.Context(), req)
}

func (h *handler) addMember(r *http.Request, _ httprouter.Params) (any, error) {
	var req Member
	if err := decodeBody(r, maxBodyBytes, &req); err != nil {
		return nil, err
	}
	if err := validateName("name", req.Name); err != nil {
		return nil, err
	}
	if _, err := netip.ParseAddrPort(req.Address); err != nil {
		return nil, Errorf(CodeInvalid, "the address must be an IP number and a port")
	}
	if err := h.backend.AddMember(r.Context(), req); err != nil {
		return nil, err
	}
	return h.backend.Members(r.Context())
}

func (h *handler) removeMember(r *http.Request, p httprouter.Params) (any, error) {
	if err := h.backend.RemoveMember(r.Context(), p.ByName("name")); err != nil {
		return nil, err
	}
	return h.backend.Members(r.Context())
}

// propose returns the result of a command that was accepted, now or before.
func (h *handler) propose(ctx context.Context, cmd *apiv1.Command) (*apiv1.Result, error) {
	res, err := h.backend.Propose(ctx, cmd)
	if err != nil {
		return nil, err
	}
	switch res.GetVerdict() {
	case apiv1.Verdict_VERDICT_ACCEPTED, apiv1.Verdict_VERDICT_REPEATED:
		return res, nil
	case apiv1.Verdict_VERDICT_CONFLICT:
		return nil, &Error{Code: CodeConflict, Message: res.GetMessage(), Version: res.GetConfigurationVersion(), Winner: res.GetWinnerSubmissionId()}
	}
	return nil, Errorf(CodeInvalid, "%s", res.GetMessage())
}

// validateName holds names of people and things to printable text of bounded
// length, since they end up in logs and in the replicated state.
func validateName(field, s string) error {
	if s == "" {
		return Errorf(CodeInvalid, "%s is required", field)
	}
	if len(s) > maxNameBytes {
		return Errorf(CodeInvalid, "%s has more than %d bytes", field, maxNameBytes)
	}
	for _, r := range s {
		if !unicode.IsPrint(r) || r == unicode.ReplacementChar {
			return Errorf(CodeInvalid, "%s holds characters that can't be printed", field)
		}
	}
	return nil
}
