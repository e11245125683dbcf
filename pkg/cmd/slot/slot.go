// Package slot groups the commands for slots of plain services.
package slot

import (
	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/pkg/cmd/slot/release"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
)

// NewCmdSlot returns the command group.
func NewCmdSlot(f *cmdutil.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "slot <command>",
		Short: "Recover slots whose owner and witness are lost",
	}
	cmd.AddCommand(release.NewCmdRelease(f, nil))
	return cmd
}
