// Package quarantine groups the commands for requests and parts of prompts that are held back since targets crashed
// while they ran them.
package quarantine

import (
	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/pkg/cmd/quarantine/lift"
	"github.com/capersaddle/capersaddle/pkg/cmd/quarantine/list"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
)

// NewCmdQuarantine returns the command group.
func NewCmdQuarantine(f *cmdutil.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "quarantine <command>",
		Short: "List and release requests that are held back since they crash their targets",
	}
	cmd.AddCommand(list.NewCmdList(f, nil), lift.NewCmdLift(f, nil))
	return cmd
}
