package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/admin"
	"github.com/cairnlift/cairnlift/spec"
)

const (
	// statusPollInterval is the time between looks at the versions in force.
	statusPollInterval = 200 * time.Millisecond
	// unresponsiveAfter is when apply --wait stops waiting for a process that is not
	// heard of: by then it has gone past its staleness bound and serves nothing.
	unresponsiveAfter = 5 * time.Second
)

func (a *App) addTextCommands() {
	a.Command(a.Root(), "apply", "Submit the operators' text.", a.apply)
	a.Command(a.Root(), "validate", "Check a text without a system; every mistake is shown.", a.validate)
	a.Command(a.Root(), "diff", "Show what a text would change.", a.diff)
}

func fileArg(c *kingpin.CmdClause) *string {
	return c.Arg("file", "The text (TOML).").Required().String()
}

// readText reads a text and checks it. The read is bounded, so that a wrong
// file name does not fill memory.
func readText(file string) (string, error) {
	in, err := os.Open(file)
	if err != nil {
		return "", errors.Wrap(err, "the text can't be read")
	}
	defer in.Close() //nolint:errcheck // it was only read
	text, err := io.ReadAll(io.LimitReader(in, spec.MaxTextBytes+1))
	if err != nil {
		return "", errors.Wrap(err, "the text can't be read")
	}
	if _, problems := spec.Parse(text); len(problems) > 0 {
		return "", &invalidTextError{file: file, problems: problems}
	}
	return string(text), nil
}

func (a *App) validate(c *kingpin.CmdClause) Runner {
	file := fileArg(c)
	return func(context.Context) error {
		text, err := readText(*file)
		if err != nil {
			return err
		}
		a.printf("%s is valid, digest %s\n", *file, spec.Digest([]byte(text)))
		return nil
	}
}

func (a *App) diff(c *kingpin.CmdClause) Runner {
	file := fileArg(c)
	asJSON := jsonFlag(c)
	return a.withClient(func(ctx context.Context, client *admin.Client) error {
		text, err := readText(*file)
		if err != nil {
			return err
		}
		got, err := client.Validate(ctx, text)
		if err != nil {
			return err
		}
		return a.printResult(*asJSON, got, func() {
			for _, change := range got.Changes {
				a.printf("%s\n", change)
			}
			a.printf("%d changes to version %d\n", len(got.Changes), got.Version)
		})
	})
}

// applyFlags are the arguments of apply.
type applyFlags struct {
	file, submissionID *string
	base               *int64
	wait               *bool
}

func (a *App) apply(c *kingpin.CmdClause) Runner {
	f := applyFlags{
		file:         fileArg(c),
		base:         c.Flag("base", "Version that the text was made from; the one in force when left out.").Default("-1").Int64(),
		submissionID: c.Flag("submission-id", "Id that makes a resend safe; made up when left out.").String(),
		wait:         c.Flag("wait", "Wait until the text is in force in every process.").Bool(),
	}
	return a.withClient(func(ctx context.Context, client *admin.Client) error {
		return a.submit(ctx, client, f)
	})
}

func (a *App) submit(ctx context.Context, client *admin.Client, f applyFlags) error {
	text, err := readText(*f.file)
	if err != nil {
		return err
	}
	req := admin.SubmitRequest{SubmissionID: *f.submissionID, Text: text, Operator: a.operator}
	if req.SubmissionID == "" {
		req.SubmissionID = admin.NewSubmissionID()
	}
	if req.BaseVersion, err = baseVersion(ctx, client, *f.base); err != nil {
		return err
	}
	// Said before the attempt: should the answer be lost, these two make the
	// resend that can't make a second version.
	_, _ = fmt.Fprintf(a.Stderr, "submission %s on version %d\n", req.SubmissionID, req.BaseVersion)
	got, err := client.Submit(ctx, req)
	if err != nil {
		return err
	}
	if got.Repeated {
		a.printf("version %d had been accepted before\n", got.Version)
	} else {
		a.printf("version %d is accepted\n", got.Version)
	}
	if *f.wait {
		return a.waitUntilInForce(ctx, client, got.Version)
	}
	return nil
}

func baseVersion(ctx context.Context, client *admin.Client, flag int64) (uint64, error) {
	if flag >= 0 {
		return uint64(flag), nil
	}
	c, err := client.Configuration(ctx)
	if err != nil {
		return 0, errors.Wrap(err, "the version in force can't be read; nothing was submitted")
	}
	return c.Version, nil
}

// waitUntilInForce waits until every process that is heard of has the version.
func (a *App) waitUntilInForce(ctx context.Context, client *admin.Client, version uint64) error {
	for {
		s, err := client.Status(ctx, admin.SectionProcesses)
		if err != nil {
			// Not wrapped: err alone would tell a script that nothing was done.
			return errors.Newf("version %d is accepted, but the processes' versions can't be read: %v", version, err)
		}
		behind := outdatedProcesses(s.Processes, version)
		if len(behind) == 0 {
			a.printProcesses(s.Processes)
			a.printf("version %d is in force\n", version)
			return nil
		}
		select {
		case <-ctx.Done():
			a.printProcesses(s.Processes)
			return errors.Newf("version %d is accepted, but not yet in force at %s", version, strings.Join(behind, ", "))
		case <-time.After(statusPollInterval):
		}
	}
}

func outdatedProcesses(processes []admin.Process, version uint64) []string {
	var names []string
	for _, p := range processes {
		lost := p.LastHeardMs > unresponsiveAfter.Milliseconds()
		if p.ConfigurationVersion < version && !lost {
			names = append(names, p.Name)
		}
	}
	return names
}
