// Package exec implements the command that changes the configuration in the operators'
// language.
package exec

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/process"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// ExecOptions holds the command's options.
type ExecOptions struct {
	IO     *iostreams.IOStreams
	Client func(address string) *cmdutil.Client

	Router string
	Script process.Script
	Wait   time.Duration
	JSON   bool
}

// NewCmdExec returns the command; tests pass runF to replace its run function.
func NewCmdExec(f *cmdutil.Factory, runF func(*ExecOptions) error) *cobra.Command {
	opts := &ExecOptions{IO: f.IOStreams, Client: f.Client}
	cmd := &cobra.Command{
		Use:   "exec <command>",
		Short: "Change the configuration",
		Long: `Change the configuration in the operators' language:

  create KIND NAME [with FIELD = VALUE, ...]
  change KIND NAME with FIELD = VALUE, ...
  remove KIND NAME
  mark target NAME        unmark target NAME

Statements separated by ';' take effect together or not at
all; 'if revision = N' at the end refuses them at another revision. The result is
accepted (exit code 0), refused with nothing changed (2, 3 or 5) or unknown
(4): run the same command again with its --id to find out.`,
		Example: `  $ capersaddle exec 'create workspace clinic with share = 3, key_hashes = ["…"]'
  $ capersaddle exec 'mark target engine-07; mark target engine-08' --wait 8s
  $ capersaddle exec 'change workspace clinic with share = 5 if revision = 41'`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Script.Text = strings.Join(args, " ")
			opts.Script.WaitMS = opts.Wait.Milliseconds()
			if runF != nil {
				return runF(opts)
			}
			return execRun(cmd.Context(), opts)
		},
	}
	cmdutil.AddRouterFlag(cmd, &opts.Router)
	cmdutil.AddJSONFlag(cmd, &opts.JSON)
	cmdutil.AddCommandFlags(cmd, &opts.Script.ID, &opts.Script.Who)
	cmd.Flags().BoolVar(&opts.Script.DryRun, "dry-run", false, "validate the change without applying it")
	cmd.Flags().BoolVar(&opts.Script.Force, "force", false, "apply the change even if it leaves a pool without a target")
	cmd.Flags().DurationVar(&opts.Wait, "wait", 0, "wait up to this `time` until the change is in force on every router")
	return cmd
}

func execRun(ctx context.Context, opts *ExecOptions) error {
	if opts.Script.ID == "" {
		opts.Script.ID = uuid.NewString()
	}
	executed, err := opts.Client(opts.Router).Exec(ctx, opts.Script)
	if err != nil {
		return cmdutil.WithID(err, opts.Script.ID)
	}
	if opts.JSON {
		return cmdutil.PrintJSON(opts.IO.Out, executed)
	}
	_, _ = fmt.Fprintln(opts.IO.Out, cmdutil.Describe(executed.Result))
	if opts.Wait == 0 || executed.DryRun {
		return nil
	}
	_, _ = fmt.Fprintf(opts.IO.Out, "in force on %d of %d routers\n", executed.InForce, executed.Routers)
	if len(executed.Missing) > 0 {
		return fault.New(fault.Deadline, fault.Ran, "accepted, but not confirmed in force on: %s", strings.Join(executed.Missing, ", "))
	}
	return nil
}
