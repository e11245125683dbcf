// Package targets holds the command that says why targets get nothing.
package targets

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/internal/process"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// TargetsOptions are the command's options.
type TargetsOptions struct {
	IO      *iostreams.IOStreams
	Gateway func(address string) *cmdutil.GatewayClient

	Address string
	Service string
	JSON    bool
}

// NewCmdTargets returns the command; runF replaces its work in tests.
func NewCmdTargets(f *cmdutil.Factory, runF func(*TargetsOptions) error) *cobra.Command {
	opts := &TargetsOptions{IO: f.IOStreams, Gateway: f.Gateway}
	cmd := &cobra.Command{
		Use:   "targets <address>",
		Short: "Say which targets get requests, and why others don't, as one gateway sees them",
		Long: `Say which targets get requests, and why others don't, as the gateway at a
metrics address sees them.

A target that rests was asked for by its own answers to this gateway alone: others
may still send to it. The time left is that after which the reason no longer holds.`,
		Example: `  $ capersaddle targets 127.0.0.1:8302
  $ capersaddle targets 127.0.0.1:8302 --service checkout --json`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Address = args[0]
			if runF != nil {
				return runF(opts)
			}
			return targetsRun(cmd.Context(), opts)
		},
	}
	cmd.Flags().StringVar(&opts.Service, "service", "", "Only the targets of this service")
	cmdutil.AddJSONFlag(cmd, &opts.JSON)
	return cmd
}

func targetsRun(ctx context.Context, opts *TargetsOptions) error {
	known, err := opts.Gateway(opts.Address).Targets(ctx)
	if err != nil {
		return err
	}
	if opts.Service != "" {
		known = slices.DeleteFunc(known, func(target process.TargetStatus) bool { return target.Service != opts.Service })
	}
	if opts.JSON {
		return cmdutil.PrintJSON(opts.IO.Out, known)
	}
	rows := make([][]string, 0, len(known))
	for _, target := range known {
		rows = append(rows, []string{
			target.ID, target.Service, target.Address, target.DataCenter, string(target.Reason), left(target),
			fmt.Sprint(target.InFlight), fmt.Sprint(target.Others),
		})
	}
	return cmdutil.Table(opts.IO.Out, []string{"TARGET", "SERVICE", "ADDRESS", "DATA CENTRE", "STANDING", "LEFT", "IN FLIGHT", "OTHERS"}, rows)
}

// left is for how much longer the reason holds.
func left(target process.TargetStatus) string {
	if target.RemainingMS == 0 {
		return "-"
	}
	return (time.Duration(target.RemainingMS) * time.Millisecond).Round(100 * time.Millisecond).String()
}
