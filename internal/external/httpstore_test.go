package external_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/external"
)

// TestValueBeyondTheLimit guards against a value that was cut at the limit and taken for the whole one.
func TestValueBeyondTheLimit(t *testing.T) {
	for name, test := range map[string]struct {
		size  int
		whole bool
	}{
		"at the limit":     {external.MaxValue, true},
		"beyond the limit": {external.MaxValue + 1, false},
		"far beyond it":    {4 * external.MaxValue, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(external.VersionHeader, "7")
				_, _ = io.WriteString(w, strings.Repeat("a", test.size))
			}))
			defer server.Close()
			store := &external.HTTPStore{Base: server.URL, Client: server.Client()}
			value, err := store.Get(t.Context(), "key")
			is.Equal(err == nil, test.whole)
			is.Equal(len(value.Data) == test.size, test.whole)
		})
	}
}
