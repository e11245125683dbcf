package targets

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/pkg/cmdutil"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

const answer = `[
 {"id":"i-1","life":"i-1@5","service":"checkout","address":"10.0.0.1:80","data_center":"a","standing":"open","in_flight":3,"others":9},
 {"id":"i-2","life":"i-2@5","service":"checkout","address":"10.0.0.2:80","data_center":"b","standing":"resting","left_ms":2340,"in_flight":0,"others":1},
 {"id":"i-3","life":"i-3@5","service":"models","address":"10.0.0.3:80","data_center":"a","standing":"leaving_by_answer","in_flight":1,"others":0}
]`

const table = `TARGET  SERVICE   ADDRESS      DATA CENTRE  STANDING           LEFT  IN FLIGHT  OTHERS
i-1     checkout  10.0.0.1:80  a            open               -     3          9
i-2     checkout  10.0.0.2:80  b            resting            2.3s  0          1
i-3     models    10.0.0.3:80  a            leaving_by_answer  -     1          0
`

// run runs the command against a response and returns its output.
func run(t *testing.T, status int, body string, args ...string) (string, error) {
	t.Helper()
	gateway := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/targets" {
			t.Errorf("asked for %s", r.URL.Path)
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer gateway.Close()
	f := cmdutil.NewFactory()
	streams, out, _ := iostreams.Test()
	f.IOStreams = streams
	cmd := NewCmdTargets(f, nil)
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	cmd.SetArgs(append([]string{gateway.Listener.Addr().String()}, args...))
	err := cmd.ExecuteContext(t.Context())
	return out.String(), err
}

func TestTargets(t *testing.T) {
	cases := map[string]struct {
		args     []string
		has, not string
	}{
		"all":            {nil, table, "\x00"},
		"of one service": {[]string{"--service", "models"}, "i-3", "i-1"},
		"as JSON":        {[]string{"--json"}, `"left_ms": 2340`, "TARGET"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			printed, err := run(t, http.StatusOK, answer, test.args...)
			is.NoErr(err)
			printed = strings.ReplaceAll(printed, " \n", "\n")
			is.True(strings.Contains(printed, test.has))
			is.True(!strings.Contains(printed, test.not))
		})
	}
}

func TestTargetsFromAnotherProcess(t *testing.T) {
	is := is.New(t)
	_, err := run(t, http.StatusNotFound, "")
	is.True(strings.Contains(err.Error(), "want a gateway's metrics address"))
}
