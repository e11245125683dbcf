package process

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/observe"
	"github.com/capersaddle/capersaddle/internal/quarantine"
	"github.com/capersaddle/capersaddle/internal/settings"
)

func TestQuarantineHandler(t *testing.T) {
	fingerprint := quarantine.Fingerprint(0xaa)
	cases := map[string]struct {
		method, query string
		held          bool
		status        int
		body          string
		stillHeld     bool
	}{
		"empty list":          {http.MethodGet, "", false, http.StatusOK, "[]\n", false},
		"one request":         {http.MethodGet, "", true, http.StatusOK, `{"print":"00000000000000aa","ends":3,"left_ms":`, true},
		"lifted":              {http.MethodDelete, "?print=00000000000000aa", true, http.StatusNoContent, "", false},
		"other fingerprint":   {http.MethodDelete, "?print=00000000000000ab", true, http.StatusNotFound, "00000000000000ab", true},
		"no fingerprint":      {http.MethodDelete, "", true, http.StatusBadRequest, "want the 16 digits", true},
		"invalid fingerprint": {http.MethodDelete, "?print=all", true, http.StatusBadRequest, `found "all"`, true},
		"PUT":                 {http.MethodPut, "?print=00000000000000ab", true, http.StatusMethodNotAllowed, "lifted with DELETE", true},
		"POST":                {http.MethodPost, "", true, http.StatusMethodNotAllowed, "read with GET", true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := quarantine.New()
			if tc.held {
				table.Merge(quarantine.Record{Fingerprint: fingerprint, Incarnations: []quarantine.Incarnation{1, 2, 3}}, clock.Now())
			}
			observer := observe.New(NewLogger(discard{}, settings.Log{}), observe.NewMetrics(prometheus.NewRegistry()))
			crashes := gateway.NewCrashes(table, balance.New(balance.DefaultOptions()), nil, observer)
			out := httptest.NewRecorder()
			quarantineHandler(crashes).ServeHTTP(out, httptest.NewRequest(tc.method, PathQuarantine+tc.query, nil))
			is.Equal(out.Code, tc.status)
			is.True(strings.Contains(out.Body.String(), tc.body))
			is.Equal(table.Held(fingerprint, clock.Now()), tc.stillHeld)
		})
	}
}
