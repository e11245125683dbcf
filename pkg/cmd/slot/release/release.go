// Package release implements the command by which an operator confirms that an agent is dead.
package release

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// ReleaseOptions holds the command's options.
type ReleaseOptions struct {
	IO     *iostreams.IOStreams
	Client func(address string) *cmdutil.Client

	Router    string
	Agent     string
	Confirmed bool
}

// NewCmdRelease returns the command; tests pass runF to replace its run function.
func NewCmdRelease(f *cmdutil.Factory, runF func(*ReleaseOptions) error) *cobra.Command {
	opts := &ReleaseOptions{IO: f.IOStreams, Client: f.Client}
	cmd := &cobra.Command{
		Use:   "release <agent>",
		Short: "Confirm that an agent is dead, so that others take over its slots",
		Long: `Confirm that an agent is dead, so that others may take over its slots at once
instead of after its long lease. It is needed only if an owner and its witness
were lost together.

It ends the guarantee for that agent: if the process still runs somewhere, cut
off or paused, a request could run twice. Make sure that its host is off first.`,
		Example: `  $ capersaddle slot release service-host-3 --confirmed-dead`,
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Agent = args[0]
			if runF != nil {
				return runF(opts)
			}
			return releaseRun(cmd.Context(), opts)
		},
	}
	cmdutil.AddRouterFlag(cmd, &opts.Router)
	cmd.Flags().BoolVar(&opts.Confirmed, "confirmed-dead", false, "confirm that the agent's host is off")
	return cmd
}

func releaseRun(ctx context.Context, opts *ReleaseOptions) error {
	if !opts.Confirmed {
		return fault.New(fault.BadRequest, fault.NotRun, "make sure that the host of %s is off, then pass --confirmed-dead", opts.Agent)
	}
	if err := opts.Client(opts.Router).Release(ctx, opts.Agent); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(opts.IO.Out, "the long lease of %s has ended; others will take over its slots within seconds\n", opts.Agent)
	return nil
}
