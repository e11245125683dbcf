// Package router implements the command that runs a router.
package router

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/pkg/cmdutil"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// RouterOptions holds the command's options.
type RouterOptions struct {
	IO *iostreams.IOStreams

	File         string
	DrainTimeout time.Duration
}

// NewCmdRouter returns the command; tests pass runF to replace its run function.
func NewCmdRouter(f *cmdutil.Factory, runF func(*RouterOptions) error) *cobra.Command {
	opts := &RouterOptions{IO: f.IOStreams}
	cmd := &cobra.Command{
		Use:   "router <settings file>",
		Short: "Run a router",
		Long: `Run a router from a settings file (JSON with comments).

On SIGTERM or SIGINT it accepts no new work, waits for requests in flight and
ends. A second signal ends it at once.`,
		Example: `  $ capersaddle router examples/router.json`,
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.File = args[0]
			if runF != nil {
				return runF(opts)
			}
			return routerRun(opts)
		},
	}
	cmd.Flags().DurationVar(&opts.DrainTimeout, "drain-timeout", 0, "stop waiting for requests in flight after this `time`; 0 waits without a limit")
	return cmd
}

func routerRun(opts *RouterOptions) error {
	return cmdutil.RunProcess(opts.IO, "router", opts.File, opts.DrainTimeout)
}
