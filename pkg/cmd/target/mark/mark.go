// Package mark implements the command that marks targets.
package mark

import (
	"context"
	"encoding/json"

	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
)

// NewCmdMark returns the command; tests pass runF to replace its run function.
func NewCmdMark(f *cmdutil.Factory, runF func(*cmdutil.ChangeOptions) error) *cobra.Command {
	opts := cmdutil.NewChangeOptions(f)
	cmd := &cobra.Command{
		Use:   "mark <target>...",
		Short: "Mark targets for a planned stop",
		Long: `Mark targets for a planned stop: they get no new work, and requests in flight
finish. 'capersaddle member list' shows when no request is in flight any more.`,
		Example: `  $ capersaddle target mark engine-07`,
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, target := range args {
				opts.Changes = append(opts.Changes, config.Change{Name: config.KindMark + "/" + target, Value: json.RawMessage(`{"leaving":true}`)})
			}
			if runF != nil {
				return runF(opts)
			}
			return markRun(cmd.Context(), opts)
		},
	}
	opts.AddFlags(cmd)
	return cmd
}

func markRun(ctx context.Context, opts *cmdutil.ChangeOptions) error {
	return opts.Run(ctx)
}
