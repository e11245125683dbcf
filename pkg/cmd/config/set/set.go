// Package set implements the command that changes configuration documents.
package set

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
)

// NewCmdSet returns the command; tests pass runF to replace its run function.
func NewCmdSet(f *cmdutil.Factory, runF func(*cmdutil.ChangeOptions) error) *cobra.Command {
	opts := cmdutil.NewChangeOptions(f)
	cmd := &cobra.Command{
		Use:   "set <kind/name>=<json>...",
		Short: "Change configuration documents",
		Long: `Change configuration documents, either all or none. An empty value removes
the document. Kinds are workspace, model, service, route and mark.`,
		Example: `  $ capersaddle config set 'model/volta-chat={"owned_by":"volta"}'
  $ capersaddle config set 'workspace/old=' --if-revision 41`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := parseArgs(opts, args); err != nil {
				return err
			}
			if runF != nil {
				return runF(opts)
			}
			return setRun(cmd.Context(), opts)
		},
	}
	opts.AddFlags(cmd)
	return cmd
}

// parseArgs parses kind/name=json pairs.
func parseArgs(opts *cmdutil.ChangeOptions, args []string) error {
	for _, arg := range args {
		name, value, ok := strings.Cut(arg, "=")
		if !ok {
			return fault.New(fault.BadRequest, fault.NotRun, "found %q; want kind/name=json", arg)
		}
		opts.Changes = append(opts.Changes, config.Change{Name: name, Value: json.RawMessage(value)})
	}
	return nil
}

func setRun(ctx context.Context, opts *cmdutil.ChangeOptions) error {
	return opts.Run(ctx)
}
