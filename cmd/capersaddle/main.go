// Command capersaddle runs all parts of the system and the operators' commands.
package main

import (
	"fmt"
	"os"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/pkg/cmd/root"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
)

func main() {
	os.Exit(run(cmdutil.NewFactory(), os.Args[1:]))
}

// run runs one command and returns its exit code.
func run(f *cmdutil.Factory, args []string) int {
	cmd := root.NewCmdRoot(f)
	cmd.SetArgs(args)
	err := cmd.Execute()
	if err != nil {
		_, _ = fmt.Fprintf(f.IOStreams.ErrOut, "capersaddle: %s\n", fault.From(err).Message)
	}
	return fault.ExitCode(err)
}
