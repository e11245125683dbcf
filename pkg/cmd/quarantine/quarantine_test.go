package quarantine

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

const (
	answer = `[{"print":"19ce43b63e82f588","ends":3,"left_ms":512400},{"print":"00000000000000aa","ends":9,"left_ms":38400000},{"print":"fa00000000000001","ends":5,"left_ms":600000,"is_part":true,"part":"5c1e07a2","workspace":"clinic","requests":7},{"print":"fa00000000000002","ends":4,"left_ms":600000,"is_part":true}]`
	table  = `PRINT             TARGETS ENDED  HELD BACK FOR  WHAT
19ce43b63e82f588  3              8m32s          a request
00000000000000aa  9              10h40m0s       a request
fa00000000000001  5              10m0s          part 5c1e07a2; 7 requests here, the last of "clinic"
fa00000000000002  4              10m0s          a part; no request with it came here
`
)

// run runs a command of the group against a response. It returns the output and the request
// sent.
func run(t *testing.T, status int, body string, args ...string) (printed, request string, err error) {
	t.Helper()
	gateway := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request = r.Method + " " + r.URL.String()
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer gateway.Close()
	f := cmdutil.NewFactory()
	streams, out, _ := iostreams.Test()
	f.IOStreams = streams
	cmd := NewCmdQuarantine(f)
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	cmd.SetArgs(append([]string{args[0], gateway.Listener.Addr().String()}, args[1:]...))
	err = cmd.ExecuteContext(t.Context())
	return out.String(), request, err
}

func TestList(t *testing.T) {
	is := is.New(t)
	printed, request, err := run(t, http.StatusOK, answer, "list")
	is.NoErr(err)
	is.Equal(request, "GET /quarantine")
	is.Equal(strings.ReplaceAll(printed, " \n", "\n"), table)
	printed, _, err = run(t, http.StatusOK, answer, "list", "--json")
	is.NoErr(err)
	is.True(strings.Contains(printed, `"left_ms": 512400`))
}

func TestLift(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		kind   fault.Kind
		text   string
	}{
		"lifted":          {http.StatusNoContent, "", "", "19ce43b63e82f588 is no longer held back"},
		"not held back":   {http.StatusNotFound, "nothing is held against a request\n", fault.BadRequest, "nothing is held against a request"},
		"another process": {http.StatusMethodNotAllowed, "", fault.BadRequest, "Method Not Allowed"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			printed, request, err := run(t, tc.status, tc.body, "lift", "19ce43b63e82f588")
			is.Equal(request, "DELETE /quarantine?print=19ce43b63e82f588")
			if tc.kind == "" {
				is.NoErr(err)
				is.True(strings.Contains(printed, tc.text))
				return
			}
			is.Equal(fault.KindOf(err), tc.kind)
			is.True(strings.Contains(err.Error(), tc.text))
		})
	}
}
