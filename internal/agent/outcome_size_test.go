package agent

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/target"
)

// TestAnswerBeyondLimitIsNotWhole guards against an answer that is cut at the limit and passed on as the
// whole answer of a call that must not be repeated.
func TestAnswerBeyondLimitIsNotWhole(t *testing.T) {
	const limit = 8
	cases := map[string]struct {
		body    string
		trimmed bool
	}{
		"empty":        {"", false},
		"at the limit": {"12345678", false},
		"beyond it":    {"123456789", true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			response := target.ServiceResponse{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(tc.body))}
			outcome, err := outcomeOf(response, limit)
			is.NoErr(err)
			is.Equal(outcome.Trimmed, tc.trimmed)
			if !tc.trimmed {
				is.Equal(string(outcome.Body), tc.body)
			}
		})
	}
}
