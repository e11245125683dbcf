// Package lift holds the command that has a request sent again that is held back.
package lift

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/pkg/cmdutil"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// LiftOptions are the command's options.
type LiftOptions struct {
	IO      *iostreams.IOStreams
	Gateway func(address string) *cmdutil.GatewayClient

	Address string
	Print   string
}

// NewCmdLift returns the command; runF replaces its work in tests.
func NewCmdLift(f *cmdutil.Factory, runF func(*LiftOptions) error) *cobra.Command {
	opts := &LiftOptions{IO: f.IOStreams, Gateway: f.Gateway}
	cmd := &cobra.Command{
		Use:   "lift <address> <print>",
		Short: "Have a request sent again that is held back",
		Long: `Have a request sent again that is held back, at all gateways within a moment.

If it still ends the targets that run it, three more end until it is held back again.`,
		Example: `  $ capersaddle quarantine lift 127.0.0.1:8302 19ce43b63e82f588`,
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Address, opts.Print = args[0], args[1]
			if runF != nil {
				return runF(opts)
			}
			return liftRun(cmd.Context(), opts)
		},
	}
	return cmd
}

func liftRun(ctx context.Context, opts *LiftOptions) error {
	if err := opts.Gateway(opts.Address).Lift(ctx, opts.Print); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(opts.IO.Out, "%s is sent again\n", opts.Print)
	return nil
}
