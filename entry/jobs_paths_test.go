package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Symptom: `cairnlift wave state`, `cairnlift job explain` and `cairnlift host move` say
// that there is no such page.
// Sequence: the command asks an entry for a path below those of the jobs' interface.
// Cause: the entry passes the paths themselves on, and none below them.
func TestJobsPathsReachTheirInterface(t *testing.T) {
	h := (&Entry{}).withJobs(http.NotFoundHandler())
	for _, c := range []struct{ method, path, body string }{
		{http.MethodGet, "/v1/waves/x", ""},
		{http.MethodPost, "/v1/hosts/move", `{"host":"h1"}`},
		{http.MethodPost, "/v1/jobs", `{}`},
		{http.MethodPost, "/v1/waves", `{}`},
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
		if w.Code != http.StatusBadRequest {
			t.Errorf("%s %s with a mistake: %d %s", c.method, c.path, w.Code, w.Body)
		}
	}
}
