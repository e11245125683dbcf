// Package member groups the commands for members.
package member

import (
	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/pkg/cmd/member/list"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
)

// NewCmdMember returns the command group.
func NewCmdMember(f *cmdutil.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "member <command>",
		Short: "Show processes, targets and their load",
	}
	cmd.AddCommand(list.NewCmdList(f, nil))
	return cmd
}
