package jobapi

import (
	"net"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/account"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// Accounts determines and counts the client accounts of submissions. The zero value leaves all accounts
// empty.
type Accounts struct {
	Rule account.Rule
	// AvailabilityZone is that of the process that receives submissions.
	AvailabilityZone string
	// Counters counts submissions by account and outcome; nil counts none.
	Counters *account.Counters
}

// Of returns the account of a submission to a host and path. An error means that the caller named an
// invalid account.
func (a Accounts) Of(r *http.Request, host, path string) (string, error) {
	if a.Rule == (account.Rule{}) {
		return "", nil
	}
	o := account.Origin{AvailabilityZone: a.AvailabilityZone, Address: remoteIP(r)}
	if a.Rule.Header != "" {
		// Several headers make no valid name, because a name contains no comma.
		o.HeaderValue = strings.Join(r.Header.Values(a.Rule.Header), ",")
	}
	// The path of a job is the path prefix of its queue and its ID, which contains no slash.
	o.Queue = strings.ToLower(host) + path[:strings.LastIndexByte(path, '/')+1]
	return a.Rule.Of(o)
}

func remoteIP(r *http.Request) string {
	ip, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return ip
}

// checkJob sets the account of a job and validates it.
func (a Accounts) checkJob(r *http.Request, spec *apiv1.JobSpec) error {
	if spec.Account != "" {
		return errors.New("account: a job must not name its client account, which is determined by the entry")
	}
	var err error
	if spec.Account, err = a.Of(r, spec.Host, spec.Path); err != nil {
		return err
	}
	return jobqueue.ValidateJob(spec)
}

// Count counts a submission by its outcome: accepted, refused (not accepted, and it never will be) or
// unknown.
func (a Accounts) Count(name string, o apiv1.JobOutcome, err error) {
	if a.Counters == nil {
		return
	}
	var unavailable *control.UnavailableError
	switch {
	case err != nil && !errors.As(err, &unavailable):
		a.Counters.Count(name, "unknown")
	case err == nil && o == apiv1.JobOutcome_JOB_OUTCOME_OK:
		a.Counters.Count(name, "accepted")
	default:
		a.Counters.Count(name, "refused")
	}
}
