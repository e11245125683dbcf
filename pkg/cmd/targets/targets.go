// Package targets implements the command that shows why targets get no requests.
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

// TargetsOptions holds the command's options.
type TargetsOptions struct {
	IO      *iostreams.IOStreams
	Gateway func(address string) *cmdutil.GatewayClient

	Address string
	Service string
	JSON    bool
}

// NewCmdTargets returns the command; tests pass runF to replace its run function.
func NewCmdTargets(f *cmdutil.Factory, runF func(*TargetsOptions) error) *cobra.Command {
	opts := &TargetsOptions{IO: f.IOStreams, Gateway: f.Gateway}
	cmd := &cobra.Command{
		Use:   "targets <address>",
		Short: "Show which targets get requests, and why others don't, as one gateway sees them",
		Long: `Show which targets get requests, and why others don't, as the gateway at a
metrics address sees them.

A resting target has asked only this gateway for a pause, in its responses: others
may still send to it. The time left is the time until the reason no longer holds.`,
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
	targets, err := opts.Gateway(opts.Address).Targets(ctx)
	if err != nil {
		return err
	}
	if opts.Service != "" {
		targets = slices.DeleteFunc(targets, func(target process.TargetStatus) bool { return target.Service != opts.Service })
	}
	if opts.JSON {
		return cmdutil.PrintJSON(opts.IO.Out, targets)
	}
	rows := make([][]string, 0, len(targets))
	for _, target := range targets {
		rows = append(rows, []string{
			target.ID, target.Service, target.Address, target.DataCenter, string(target.Reason), timeLeft(target),
			fmt.Sprint(target.InFlight), fmt.Sprint(target.Others),
		})
	}
	return cmdutil.Table(opts.IO.Out, []string{"TARGET", "SERVICE", "ADDRESS", "DATA CENTRE", "STANDING", "LEFT", "IN FLIGHT", "OTHERS"}, rows)
}

// timeLeft returns the time for which the reason still holds.
func timeLeft(target process.TargetStatus) string {
	if target.RemainingMS == 0 {
		return "-"
	}
	return (time.Duration(target.RemainingMS) * time.Millisecond).Round(100 * time.Millisecond).String()
}
