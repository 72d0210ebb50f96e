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
func TestJobPathsReachJobAPI(t *testing.T) {
	admin := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
	h := (&Entry{}).withJobAPI(admin)
	for _, c := range []struct {
		method, path, body string
		want               int
	}{
		{http.MethodGet, "/v1/waves/x", "", http.StatusBadRequest},
		{http.MethodPost, "/v1/hosts/move", `{"host":"h1"}`, http.StatusBadRequest},
		{http.MethodPost, "/v1/jobs", `{}`, http.StatusBadRequest},
		{http.MethodPost, "/v1/waves", `{}`, http.StatusBadRequest},
		{http.MethodPost, "/v1/explanations/x", "", http.StatusMethodNotAllowed},
		// The administration API explains the jobs of the operators' text.
		{http.MethodGet, "/v1/jobs/x/explanation", "", http.StatusTeapot},
		{http.MethodGet, "/v1/status", "", http.StatusTeapot},
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
		if w.Code != c.want {
			t.Errorf("%s %s: %d, want %d: %s", c.method, c.path, w.Code, c.want, w.Body)
		}
	}
}
