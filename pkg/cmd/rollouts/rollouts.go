// Package rollouts implements the command that shows the progress of roll-outs.
package rollouts

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/internal/rollout"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// RolloutsOptions holds the command's options.
type RolloutsOptions struct {
	IO      *iostreams.IOStreams
	Gateway func(address string) *cmdutil.GatewayClient

	Address string
	JSON    bool
}

// NewCmdRollouts returns the command; tests pass runF to replace its run function.
func NewCmdRollouts(f *cmdutil.Factory, runF func(*RolloutsOptions) error) *cobra.Command {
	opts := &RolloutsOptions{IO: f.IOStreams, Gateway: f.Gateway}
	cmd := &cobra.Command{
		Use:   "rollouts <address>",
		Short: "Show the progress of roll-outs, as one gateway knows it",
		Long: `Show the progress of roll-outs, as the gateway at a metrics address knows it.

If that gateway decides for a service, the figures are those of all gateways
that have reported; otherwise they are its own, and marked so. The worst
route is the one with the highest share of bad answers of the version over that of
the other versions in the same time.`,
		Example: `  $ capersaddle rollouts 127.0.0.1:8302
  $ capersaddle rollouts 127.0.0.1:8302 --json`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Address = args[0]
			if runF != nil {
				return runF(opts)
			}
			return rolloutsRun(cmd.Context(), opts)
		},
	}
	cmdutil.AddJSONFlag(cmd, &opts.JSON)
	return cmd
}

func rolloutsRun(ctx context.Context, opts *RolloutsOptions) error {
	statuses, err := opts.Gateway(opts.Address).Rollouts(ctx)
	if err != nil {
		return err
	}
	if opts.JSON {
		return cmdutil.PrintJSON(opts.IO.Out, statuses)
	}
	rows := make([][]string, 0, len(statuses))
	for _, status := range statuses {
		rows = append(rows, rowOf(status))
	}
	return cmdutil.Table(opts.IO.Out, []string{"SERVICE", "VERSION", "STATE", "STAGE", "AGE", "LEFT", "REQUESTS", "EXPOSED", "WORST ROUTE"}, rows)
}

// notAvailable is printed for unknown values.
const notAvailable = "-"

func rowOf(status rollout.Status) []string {
	return []string{
		status.Service, orNotAvailable(status.Version), formatState(status), ifRunning(status, status.Stage),
		formatTime(status, status.AgeMS), formatTime(status, status.LeftMS),
		ifRunning(status, formatRequests(status)), ifRunning(status, formatExposed(status)), worstRoute(status.Routes),
	}
}

func orNotAvailable(text string) string {
	if text == "" {
		return notAvailable
	}
	return text
}

func formatState(status rollout.Status) string {
	state := orNotAvailable(string(status.State))
	if status.Halted && status.State == rollout.Running {
		state += ", halted"
	}
	return state
}

// formatTime returns a time of a running roll-out.
func formatTime(status rollout.Status, millis int64) string {
	return ifRunning(status, (time.Duration(millis) * time.Millisecond).Round(100*time.Millisecond).String())
}

// ifRunning returns the text if the roll-out is running, and notAvailable otherwise.
func ifRunning(status rollout.Status, text string) string {
	if status.State != rollout.Running {
		return notAvailable
	}
	return text
}

func formatRequests(status rollout.Status) string {
	if status.Decides {
		return fmt.Sprint(status.Requests)
	}
	return fmt.Sprintf("%d of this gateway", status.Requests)
}

func formatExposed(status rollout.Status) string {
	if status.Requests == 0 {
		return fmt.Sprint(status.Exposed)
	}
	const percent = 100
	return fmt.Sprintf("%d (%.1f%%)", status.Exposed, percent*float64(status.Exposed)/float64(status.Requests))
}

// worstRoute describes the route on which the version's share of bad answers exceeds that of
// the other versions the most.
func worstRoute(routes []rollout.RouteSum) string {
	worst, maxExcess := notAvailable, -1.0
	for _, route := range routes {
		excess := badShare(route.Version) - badShare(route.Others)
		if route.Version.Answers == 0 || excess <= maxExcess {
			continue
		}
		maxExcess = excess
		worst = fmt.Sprintf("%08x: %d failed, %d slow of %d", route.Route, route.Version.Failed, route.Version.Slow, route.Version.Answers)
	}
	return worst
}

func badShare(counts rollout.Counts) float64 {
	if counts.Answers == 0 {
		return 0
	}
	return float64(counts.Failed+counts.Slow) / float64(counts.Answers)
}
