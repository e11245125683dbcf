// Package unmark implements the command that unmarks targets.
package unmark

import (
	"context"
	"encoding/json"

	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
)

// NewCmdUnmark returns the command; tests pass runF to replace its run function.
func NewCmdUnmark(f *cmdutil.Factory, runF func(*cmdutil.ChangeOptions) error) *cobra.Command {
	opts := cmdutil.NewChangeOptions(f)
	cmd := &cobra.Command{
		Use:     "unmark <target>...",
		Short:   "Remove the mark from targets",
		Long:    `Remove the mark for a planned stop from targets: they get work again.`,
		Example: `  $ capersaddle target unmark engine-07`,
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, target := range args {
				opts.Changes = append(opts.Changes, config.Change{Name: config.KindMark + "/" + target, Value: json.RawMessage(nil)})
			}
			if runF != nil {
				return runF(opts)
			}
			return unmarkRun(cmd.Context(), opts)
		},
	}
	opts.AddFlags(cmd)
	return cmd
}

func unmarkRun(ctx context.Context, opts *cmdutil.ChangeOptions) error {
	return opts.Run(ctx)
}
