// Command capersaddle is the whole system in one binary.
package main

import (
	"fmt"
	"os"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/pkg/cmd/root"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
)

func main() {
	os.Exit(run(cmdutil.NewFactory()))
}

// run gives the exit code of one command.
func run(f *cmdutil.Factory) int {
	err := root.NewCmdRoot(f).Execute()
	if err != nil {
		_, _ = fmt.Fprintf(f.IOStreams.ErrOut, "capersaddle: %s\n", fault.From(err).Message)
	}
	return fault.ExitCode(err)
}
