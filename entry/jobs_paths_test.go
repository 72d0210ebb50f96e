package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// `cairnlift wave state`, `cairnlift job explain` and `cairnlift host move` request paths below
// those of the job API from an entry. They fail with "not found" if the entry routes only the paths
// themselves to the job API and none below them.
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
		{http.MethodPost, "/v1/queues/x/y", "", http.StatusNotFound},
		{http.MethodGet, "/v1/queues/x/hold", "", http.StatusMethodNotAllowed},
		{http.MethodPut, "/v1/accounts", "", http.StatusMethodNotAllowed},
		{http.MethodPut, "/v1/holds", "", http.StatusMethodNotAllowed},
		{http.MethodGet, "/v1/jobs/x/prioritize", "", http.StatusTeapot},
		{http.MethodPost, "/v1/explanations/x", "", http.StatusMethodNotAllowed},
		// The administration API explains the jobs of the operators' configuration.
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
