// Package target groups the commands for targets.
package target

import (
	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/pkg/cmd/target/mark"
	"github.com/capersaddle/capersaddle/pkg/cmd/target/unmark"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
)

// NewCmdTarget returns the command group.
func NewCmdTarget(f *cmdutil.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "target <command>",
		Short: "Mark targets for a planned stop",
	}
	cmd.AddCommand(mark.NewCmdMark(f, nil), unmark.NewCmdUnmark(f, nil))
	return cmd
}
