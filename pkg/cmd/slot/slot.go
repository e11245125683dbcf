// Package slot groups the commands about slots of plain services.
package slot

import (
	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/pkg/cmd/slot/release"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
)

// NewCmdSlot returns the group.
func NewCmdSlot(f *cmdutil.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "slot <command>",
		Short: "Mend slots whose owner and witness are gone",
	}
	cmd.AddCommand(release.NewCmdRelease(f, nil))
	return cmd
}
