package process

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/rollout"
)

func TestRolloutsHandler(t *testing.T) {
	one := []rollout.Status{{Service: "s", Version: "v2", State: rollout.Running, Stage: "canary", Requests: 400, Exposed: 31}}
	cases := map[string]struct {
		method   string
		rollouts []rollout.Status
		status   int
		body     string
	}{
		"empty list":  {http.MethodGet, nil, http.StatusOK, "[]\n"},
		"one rollout": {http.MethodGet, one, http.StatusOK, `"service":"s","version":"v2","order":0,"state":"running","stage":"canary"`},
		"POST":        {http.MethodPost, one, http.StatusMethodNotAllowed, "read with GET"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			out := httptest.NewRecorder()
			listHandler("rollouts", func() []rollout.Status { return tc.rollouts }).ServeHTTP(out, httptest.NewRequest(tc.method, PathRollouts, nil))
			is.Equal(out.Code, tc.status)
			is.True(strings.Contains(out.Body.String(), tc.body))
		})
	}
}
