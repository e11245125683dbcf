// Package show implements the command that shows the configuration in force.
package show

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// ShowOptions holds the command's options.
type ShowOptions struct {
	IO     *iostreams.IOStreams
	Client func(address string) *cmdutil.Client

	Router string
	Prefix string
	JSON   bool
}

// NewCmdShow returns the command; tests pass runF to replace its run function.
func NewCmdShow(f *cmdutil.Factory, runF func(*ShowOptions) error) *cobra.Command {
	opts := &ShowOptions{IO: f.IOStreams, Client: f.Client}
	cmd := &cobra.Command{
		Use:   "show [kind or kind/name]",
		Short: "Show the configuration in force at a router",
		Long: `Show the configuration in force at a router. It works while the store
is unavailable: it shows the configuration that the router applies.`,
		Example: `  $ capersaddle config show
  $ capersaddle config show workspace --json`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				opts.Prefix = args[0]
			}
			if runF != nil {
				return runF(opts)
			}
			return showRun(cmd.Context(), opts)
		},
	}
	cmdutil.AddRouterFlag(cmd, &opts.Router)
	cmdutil.AddJSONFlag(cmd, &opts.JSON)
	return cmd
}

func showRun(ctx context.Context, opts *ShowOptions) error {
	all, err := opts.Client(opts.Router).Documents(ctx)
	if err != nil {
		return err
	}
	selected := []config.Document{}
	for _, document := range all.Documents {
		if strings.HasPrefix(document.Name, opts.Prefix) {
			selected = append(selected, document)
		}
	}
	all.Documents = selected
	if opts.JSON {
		return cmdutil.PrintJSON(opts.IO.Out, all)
	}
	rows := make([][]string, 0, len(selected))
	for _, document := range selected {
		rows = append(rows, []string{document.Name, fmt.Sprint(document.Revision), string(document.Value)})
	}
	_, _ = fmt.Fprintf(opts.IO.Out, "revision %d\n", all.Revision)
	return cmdutil.Table(opts.IO.Out, []string{"NAME", "REVISION", "VALUE"}, rows)
}
