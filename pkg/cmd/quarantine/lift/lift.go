// Package lift implements the command that releases a request that is held back.
package lift

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/pkg/cmdutil"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// LiftOptions holds the command's options.
type LiftOptions struct {
	IO      *iostreams.IOStreams
	Gateway func(address string) *cmdutil.GatewayClient

	Address     string
	Fingerprint string
}

// NewCmdLift returns the command; tests pass runF to replace its run function.
func NewCmdLift(f *cmdutil.Factory, runF func(*LiftOptions) error) *cobra.Command {
	opts := &LiftOptions{IO: f.IOStreams, Gateway: f.Gateway}
	cmd := &cobra.Command{
		Use:   "lift <address> <print>",
		Short: "Release a request or a part of prompts that is held back",
		Long: `Release a request or a part of prompts that is held back, at all gateways within a moment.

If it still crashes the targets that run it, three more crash until it is held back again,
or four and a few that were under way for a part.`,
		Example: `  $ capersaddle quarantine lift 127.0.0.1:8302 19ce43b63e82f588`,
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Address, opts.Fingerprint = args[0], args[1]
			if runF != nil {
				return runF(opts)
			}
			return liftRun(cmd.Context(), opts)
		},
	}
	return cmd
}

func liftRun(ctx context.Context, opts *LiftOptions) error {
	if err := opts.Gateway(opts.Address).Lift(ctx, opts.Fingerprint); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(opts.IO.Out, "%s is no longer held back\n", opts.Fingerprint)
	return nil
}
