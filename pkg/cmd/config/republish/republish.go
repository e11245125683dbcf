// Package republish implements the command that repairs a store that was reset to an older
// state.
package republish

import (
	"context"
	"fmt"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/pkg/cmdutil"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// RepublishOptions holds the command's options.
type RepublishOptions struct {
	IO     *iostreams.IOStreams
	Client func(address string) *cmdutil.Client

	Router string
	ID     string
	Who    string
}

// NewCmdRepublish returns the command; tests pass runF to replace its run function.
func NewCmdRepublish(f *cmdutil.Factory, runF func(*RepublishOptions) error) *cobra.Command {
	opts := &RepublishOptions{IO: f.IOStreams, Client: f.Client}
	cmd := &cobra.Command{
		Use:   "republish",
		Short: "Write the fleet's configuration to a store that was reset to an older state",
		Long: `Write the configuration in force at a router to the store, as the next
revision. It is refused unless the store is behind the router.`,
		Example: `  $ capersaddle config republish`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(opts)
			}
			return republishRun(cmd.Context(), opts)
		},
	}
	cmdutil.AddRouterFlag(cmd, &opts.Router)
	cmdutil.AddCommandFlags(cmd, &opts.ID, &opts.Who)
	return cmd
}

func republishRun(ctx context.Context, opts *RepublishOptions) error {
	if opts.ID == "" {
		opts.ID = uuid.NewString()
	}
	result, err := opts.Client(opts.Router).Republish(ctx, opts.ID, opts.Who)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(opts.IO.Out, "accepted at revision %d\n", result.Revision)
	return nil
}
