// Package query implements the command that queries the current state.
package query

import (
	"context"
	"fmt"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/pkg/cmdutil"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// QueryOptions holds the command's options.
type QueryOptions struct {
	IO     *iostreams.IOStreams
	Client func(address string) *cmdutil.Client

	Router string
	Text   string
	JSON   bool
	Watch  time.Duration
}

// NewCmdQuery returns the command; tests pass runF to replace its run function.
func NewCmdQuery(f *cmdutil.Factory, runF func(*QueryOptions) error) *cobra.Command {
	opts := &QueryOptions{IO: f.IOStreams, Client: f.Client}
	cmd := &cobra.Command{
		Use:   "query <question>",
		Short: "Query the current state",
		Long: `Query the current state of any router or agent, in the operators' language:

  SOURCE [where COLUMN = VALUE [and ...]] [show COLUMN, ...]
         [sort by COLUMN [desc]] [limit N]

Sources are workspaces, models, services, routes, marks, members, routers,
agents, targets, load, slots, leases and history. Each row names its source. All
but slots, leases and history work while the store is unavailable.`,
		Example: `  $ capersaddle query targets
  $ capersaddle query 'targets where pool = volta-chat sort by in_flight desc limit 5'
  $ capersaddle query 'routers show id, config_revision' --watch 2s`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Text = strings.Join(args, " ")
			if runF != nil {
				return runF(opts)
			}
			return queryRun(cmd.Context(), opts)
		},
	}
	cmdutil.AddRouterFlag(cmd, &opts.Router)
	cmdutil.AddJSONFlag(cmd, &opts.JSON)
	cmd.Flags().DurationVar(&opts.Watch, "watch", 0, "repeat the query every `interval` until interrupted")
	return cmd
}

func queryRun(ctx context.Context, opts *QueryOptions) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for {
		if err := runOnce(ctx, opts); err != nil || opts.Watch == 0 {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(opts.Watch):
		}
	}
}

func runOnce(ctx context.Context, opts *QueryOptions) error {
	table, err := opts.Client(opts.Router).Query(ctx, opts.Text)
	if err != nil {
		return err
	}
	for _, missing := range table.Missing {
		_, _ = fmt.Fprintf(opts.IO.ErrOut, "not asked: %s\n", missing)
	}
	if opts.JSON {
		return cmdutil.PrintJSON(opts.IO.Out, table)
	}
	headings := make([]string, 0, len(table.Columns))
	for _, column := range table.Columns {
		headings = append(headings, strings.ToUpper(column))
	}
	return cmdutil.Table(opts.IO.Out, headings, table.Rows)
}
