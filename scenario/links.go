package scenario

import (
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// setLinkMode returns the command that sets links to a mode of the link proxy.
func setLinkMode(mode string) command {
	return func(s *scriptEnv, _ *testscript.TestScript, args []string) error {
		for _, name := range args {
			links := s.cluster.linksOf(name)
			if len(links) == 0 {
				return errors.Newf("the cluster has no link %s", name)
			}
			for _, l := range links {
				url := "http://" + s.cluster.linkControl() + "/v1/links/" + l.name()
				if err := putBody(url, `{"mode":"`+mode+`"}`); err != nil {
					return err
				}
			}
		}
		return nil
	}
}

func put(_ *scriptEnv, _ *testscript.TestScript, args []string) error {
	if err := requireArgs(args, 2, "put URL BODY"); err != nil {
		return err
	}
	return putBody(args[0], args[1])
}

func putBody(url, body string) error {
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "put")
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "put")
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(resp.Body)
		return errors.Newf("put %s: %s %s", url, resp.Status, text)
	}
	return nil
}
