// Package history implements the command that lists accepted changes.
package history

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/pkg/cmdutil"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// HistoryOptions holds the command's options.
type HistoryOptions struct {
	IO     *iostreams.IOStreams
	Client func(address string) *cmdutil.Client

	Router string
	JSON   bool
}

// NewCmdHistory returns the command; tests pass runF to replace its run function.
func NewCmdHistory(f *cmdutil.Factory, runF func(*HistoryOptions) error) *cobra.Command {
	opts := &HistoryOptions{IO: f.IOStreams, Client: f.Client}
	cmd := &cobra.Command{
		Use:     "history",
		Short:   "List the latest accepted changes, newest first",
		Long:    "List the latest accepted changes: who changed which documents, and when. This reads the store.",
		Example: `  $ capersaddle config history`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(opts)
			}
			return historyRun(cmd.Context(), opts)
		},
	}
	cmdutil.AddRouterFlag(cmd, &opts.Router)
	cmdutil.AddJSONFlag(cmd, &opts.JSON)
	return cmd
}

func historyRun(ctx context.Context, opts *HistoryOptions) error {
	accepted, err := opts.Client(opts.Router).History(ctx)
	if err != nil {
		return err
	}
	if opts.JSON {
		return cmdutil.PrintJSON(opts.IO.Out, accepted)
	}
	rows := make([][]string, 0, len(accepted))
	for _, command := range accepted {
		rows = append(rows, []string{fmt.Sprint(command.Revision), command.At.Format(time.RFC3339), command.Operator, strings.Join(command.Names, " "), command.ID})
	}
	return cmdutil.Table(opts.IO.Out, []string{"REVISION", "AT", "WHO", "CHANGED", "COMMAND"}, rows)
}
