// Package history holds the command that lists accepted changes.
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

// HistoryOptions are the command's options.
type HistoryOptions struct {
	IO     *iostreams.IOStreams
	Client func(address string) *cmdutil.Client

	Router string
	JSON   bool
}

// NewCmdHistory returns the command; runF replaces its work in tests.
func NewCmdHistory(f *cmdutil.Factory, runF func(*HistoryOptions) error) *cobra.Command {
	opts := &HistoryOptions{IO: f.IOStreams, Client: f.Client}
	cmd := &cobra.Command{
		Use:     "history",
		Short:   "List the last accepted changes, newest first",
		Long:    "List the last accepted changes: who changed which documents, and when. It reads the store.",
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
	for _, one := range accepted {
		rows = append(rows, []string{fmt.Sprint(one.Revision), one.At.Format(time.RFC3339), one.Operator, strings.Join(one.Names, " "), one.ID})
	}
	return cmdutil.Table(opts.IO.Out, []string{"REVISION", "AT", "WHO", "CHANGED", "COMMAND"}, rows)
}
