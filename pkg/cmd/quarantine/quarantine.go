// Package quarantine groups the commands about requests that are held back since targets
// ended while they ran them.
package quarantine

import (
	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/pkg/cmd/quarantine/lift"
	"github.com/capersaddle/capersaddle/pkg/cmd/quarantine/list"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
)

// NewCmdQuarantine returns the group.
func NewCmdQuarantine(f *cmdutil.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "quarantine <command>",
		Short: "See and lift what holds requests back that end their targets",
	}
	cmd.AddCommand(list.NewCmdList(f, nil), lift.NewCmdLift(f, nil))
	return cmd
}
