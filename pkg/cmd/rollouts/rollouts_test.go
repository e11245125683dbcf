package rollouts

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

const answer = `[
 {"service":"checkout","version":"v2","order":9,"state":"running","stage":"canary","decides":true,"age_ms":4230,"left_ms":15770,"requests":840,"exposed":63,
  "routes":[
   {"route":1,"of_version":{"Answers":40,"Failed":8,"Slow":0},"of_others":{"Answers":400,"Failed":60,"Slow":20}},
   {"route":26,"of_version":{"Answers":20,"Failed":2,"Slow":1},"of_others":{"Answers":200,"Failed":1,"Slow":1}},
   {"route":3,"of_version":{},"of_others":{"Answers":9}}]},
 {"service":"models","version":"v7","order":4,"state":"rolled_back","stage":"hold","halted":true,"requests":12,"exposed":1,"routes":[{"route":5,"of_version":{},"of_others":{"Answers":9}}]},
 {"service":"pay","version":"v3","order":11,"state":"running","stage":"hold","halted":true,"age_ms":21040,"left_ms":-1040,"requests":0,"exposed":0}
]`

const table = `SERVICE   VERSION  STATE            STAGE   AGE   LEFT   REQUESTS           EXPOSED    WORST ROUTE
checkout  v2       running          canary  4.2s  15.8s  840                63 (7.5%)  0000001a: 2 failed, 1 slow of 20
models    v7       rolled_back      -       -     -      -                  -          -
pay       v3       running, halted  hold    21s   -1s    0 of this gateway  0          -
`

// run runs the command against a response and returns its output.
func run(t *testing.T, status int, body string, args ...string) (string, error) {
	t.Helper()
	gateway := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/rollouts" {
			t.Errorf("asked for %s", r.URL.Path)
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer gateway.Close()
	f := cmdutil.NewFactory()
	streams, out, _ := iostreams.Test()
	f.IOStreams = streams
	cmd := NewCmdRollouts(f, nil)
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	cmd.SetArgs(append([]string{gateway.Listener.Addr().String()}, args...))
	err := cmd.ExecuteContext(t.Context())
	return out.String(), err
}

func TestRollouts(t *testing.T) {
	is := is.New(t)
	printed, err := run(t, http.StatusOK, answer)
	is.NoErr(err)
	is.Equal(strings.ReplaceAll(printed, " \n", "\n"), table)
	printed, err = run(t, http.StatusOK, answer, "--json")
	is.NoErr(err)
	is.True(strings.Contains(printed, `"left_ms": 15770`))
}

func TestRolloutsErrors(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		kind   fault.Kind
		text   string
	}{
		"another process": {http.StatusNotFound, "", fault.BadRequest, "want a gateway's metrics address"},
		"no list":         {http.StatusOK, "<html>", fault.Internal, "did not return a list of roll-outs"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			printed, err := run(t, tc.status, tc.body)
			is.Equal(printed, "")
			is.Equal(fault.KindOf(err), tc.kind)
			is.True(strings.Contains(err.Error(), tc.text))
		})
	}
}
