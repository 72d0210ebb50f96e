package state

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/configdelta"
)

const (
	// MaxSubmissions is how many submissions' answers are retained, the newest
	// ones. A resend of an older one meets a newer version and gets a conflict.
	MaxSubmissions = 8192
	// MaxTasksPerJob bounds the task records that one line of text can create.
	MaxTasksPerJob = 100_000
)

// submissionTable retains the first answer to each submission id.
type submissionTable struct {
	byID      map[string]*apiv1.SubmissionRecord
	byVersion map[uint64]*apiv1.SubmissionRecord
	order     []*apiv1.SubmissionRecord
}

func newSubmissionTable() submissionTable {
	return submissionTable{
		byID:      map[string]*apiv1.SubmissionRecord{},
		byVersion: map[uint64]*apiv1.SubmissionRecord{},
	}
}

func (t *submissionTable) add(r *apiv1.SubmissionRecord) {
	if len(t.order) == MaxSubmissions {
		oldest := t.order[0]
		t.order = t.order[1:]
		delete(t.byID, oldest.SubmissionId)
		if t.byVersion[oldest.Version] == oldest {
			delete(t.byVersion, oldest.Version)
		}
	}
	t.order = append(t.order, r)
	t.byID[r.SubmissionId] = r
	if r.Result.Verdict == apiv1.Verdict_VERDICT_ACCEPTED {
		t.byVersion[r.Version] = r
	}
}

// winnerID names the submission that made a version, or the newest one known when
// that is no longer retained.
func (t *submissionTable) winnerID(version, newest uint64) string {
	if r := t.byVersion[version]; r != nil {
		return r.SubmissionId
	}
	return t.byVersion[newest].GetSubmissionId()
}

// submit replaces the configuration when its base version is the newest. Each
// submission id is bound to its first answer, whatever that was: a refused or
// beaten submission that the network delivers again later must not win then.
func (m *Machine) submit(s *apiv1.Submit) *apiv1.Result {
	if s.GetSubmissionId() == "" || s.Configuration == nil && s.Delta == nil {
		return refused("a submission needs an id and a configuration")
	}
	digest := textDigest(s)
	if first := m.submissions.byID[s.SubmissionId]; first != nil {
		return repeatSubmission(first, digest)
	}
	cfg, res := m.validateSubmission(s)
	if res.Verdict == apiv1.Verdict_VERDICT_ACCEPTED {
		m.applyConfiguration(cfg)
		res.ConfigurationVersion = m.configuration.Version
	}
	m.submissions.add(&apiv1.SubmissionRecord{
		SubmissionId: s.SubmissionId,
		Version:      res.ConfigurationVersion,
		TextDigest:   digest,
		Result:       res,
	})
	// The record keeps res; the caller's copy gets the log index of this entry.
	return proto.CloneOf(res)
}

// textDigest is the same for both forms of a submission, so that a resend may
// come in the other one.
func textDigest(s *apiv1.Submit) string {
	if s.Configuration != nil {
		return s.Configuration.TextDigest
	}
	return s.Delta.GetTextDigest()
}

func repeatSubmission(first *apiv1.SubmissionRecord, digest string) *apiv1.Result {
	if first.TextDigest != digest {
		return refused(fmt.Sprintf("submission id %q was used with another text", first.SubmissionId))
	}
	res := proto.CloneOf(first.Result)
	if res.Verdict == apiv1.Verdict_VERDICT_ACCEPTED {
		res.Verdict = apiv1.Verdict_VERDICT_REPEATED
	}
	return res
}

// validateSubmission returns the configuration that a submission asks for, when its
// base version is the newest and it is accepted.
func (m *Machine) validateSubmission(s *apiv1.Submit) (*apiv1.Configuration, *apiv1.Result) {
	version := m.configuration.Version
	if s.BaseVersion != version {
		res := conflict(fmt.Sprintf("base version %d is not the newest, %d", s.BaseVersion, version))
		res.ConfigurationVersion = version
		res.WinnerSubmissionId = m.submissions.winnerID(s.BaseVersion+1, version)
		return nil, res
	}
	cfg, why := m.resolveSubmission(s)
	if why == "" {
		why = validateConfiguration(cfg)
	}
	if why != "" {
		res := refused(why)
		res.ConfigurationVersion = version
		return nil, res
	}
	return cfg, accepted("")
}

// resolveSubmission is the whole configuration of a submission against the newest version.
// A delta that does not lead to what its digest names was damaged, or made from
// another configuration; were it applied, the text that operators read back would
// not be the one that was submitted.
func (m *Machine) resolveSubmission(s *apiv1.Submit) (cfg *apiv1.Configuration, why string) {
	if s.Configuration != nil {
		return s.Configuration, ""
	}
	cfg, err := configdelta.Apply(m.configuration, s.Delta)
	if err != nil {
		return nil, err.Error()
	}
	return cfg, ""
}

// validateConfiguration checks what the machine itself relies on; the spec
// package checks the text as a whole before it is submitted.
func validateConfiguration(cfg *apiv1.Configuration) string {
	seen := make(map[string]bool, len(cfg.Jobs))
	for _, j := range cfg.Jobs {
		switch {
		case j.GetName() == "":
			return "a job has no name"
		case seen[j.Name]:
			return fmt.Sprintf("job %q is declared twice", j.Name)
		case j.Tasks < 0 || j.Tasks > MaxTasksPerJob:
			return fmt.Sprintf("job %q: %d tasks is not within 0 and %d", j.Name, j.Tasks, MaxTasksPerJob)
		case ResourcesOf(j.Size).negative():
			return fmt.Sprintf("job %q has a negative size", j.Name)
		}
		seen[j.Name] = true
	}
	for _, s := range cfg.Services {
		if ResourcesOf(s.GetSize()).negative() {
			return fmt.Sprintf("service %q has a negative size", s.GetName())
		}
	}
	for _, t := range cfg.Teams {
		if ResourcesOf(t.GetQuota()).negative() {
			return fmt.Sprintf("team %q has a negative quota", t.GetName())
		}
	}
	return ""
}

// applyConfiguration puts a configuration in force. Its cost grows with the configuration's
// jobs, services and teams, and with the tasks of jobs that changed.
func (m *Machine) applyConfiguration(cfg *apiv1.Configuration) {
	m.configuration = &apiv1.Configuration{
		Version:    m.configuration.Version + 1,
		Services:   cfg.Services,
		Jobs:       cfg.Jobs,
		Teams:      cfg.Teams,
		Policy:     cfg.Policy,
		TextDigest: cfg.TextDigest,
		Text:       cfg.Text,
	}
	m.services = make(map[string]*apiv1.Service, len(cfg.Services))
	for _, s := range cfg.Services {
		m.services[s.GetName()] = s
	}
	m.applyTeams(cfg.Teams)
	declared := make(map[string]*apiv1.Job, len(cfg.Jobs))
	for _, d := range cfg.Jobs {
		declared[d.Name] = d
	}
	for _, name := range sortedKeys(m.jobs) {
		if declared[name] == nil {
			m.removeJob(m.jobs[name])
		}
	}
	for _, d := range cfg.Jobs {
		if j := m.jobs[d.Name]; j != nil {
			m.changeJob(j, d)
			continue
		}
		m.addJob(d)
	}
	// A service that a job depends on may have come or gone.
	for _, j := range m.jobs {
		m.requeue(j)
	}
}
