package main

import (
	"os"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"capersaddle": func() { os.Exit(run(cmdutil.NewFactory(), os.Args[1:])) },
	})
}

// TestScripts runs the scripts, which test the command line from the user's view: the output on
// each stream, and the exit status.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}

func TestExitCodes(t *testing.T) {
	tests := map[string]struct {
		args []string
		want int
	}{
		"help":                        {[]string{"--help"}, 0},
		"no command":                  {nil, 0},
		"unknown command":             {[]string{"nonsense"}, fault.ExitUsage},
		"unknown in group":            {[]string{"config", "nonsense"}, fault.ExitUsage},
		"unknown flag":                {[]string{"query", "routers", "--colour"}, fault.ExitUsage},
		"missing argument":            {[]string{"query"}, fault.ExitUsage},
		"bad settings":                {[]string{"config", "check", "no-such-file"}, fault.ExitUsage},
		"router unavailable, query":   {[]string{"query", "routers", "--router", "127.0.0.1:1"}, fault.ExitUnavailable},
		"gateway unavailable":         {[]string{"rollouts", "127.0.0.1:1"}, fault.ExitUnavailable},
		"no gateway given":            {[]string{"rollouts"}, fault.ExitUsage},
		"router unavailable, command": {[]string{"exec", "mark target a", "--router", "127.0.0.1:1"}, fault.ExitUnsettled},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := cmdutil.NewFactory()
			f.IOStreams, _, _ = iostreams.Test()
			is.New(t).Equal(run(f, tt.args), tt.want)
		})
	}
}
