// Package check implements the command that checks settings files.
package check

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/internal/settings"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// CheckOptions holds the command's options.
type CheckOptions struct {
	IO *iostreams.IOStreams

	Files []string
}

// NewCmdCheck returns the command; tests pass runF to replace its run function.
func NewCmdCheck(f *cmdutil.Factory, runF func(*CheckOptions) error) *cobra.Command {
	opts := &CheckOptions{IO: f.IOStreams}
	return &cobra.Command{
		Use:   "check <file>...",
		Short: "Check settings files",
		Long: `Check settings files completely, without starting a process. Each problem is
reported with its file, line, the value found and the value wanted.`,
		Example: `  $ capersaddle config check examples/router.json examples/agent.json`,
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.Files = args
			if runF != nil {
				return runF(opts)
			}
			return checkRun(opts)
		},
	}
}

func checkRun(opts *CheckOptions) error {
	var joined error
	for _, file := range opts.Files {
		if err := settings.Check(file); err != nil {
			joined = errors.CombineErrors(joined, err)
			_, _ = fmt.Fprintln(opts.IO.ErrOut, err)
			continue
		}
		_, _ = fmt.Fprintf(opts.IO.Out, "%s: good\n", file)
	}
	return joined
}
