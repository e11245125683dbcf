// Package member groups the commands about members.
package member

import (
	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/pkg/cmd/member/list"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
)

// NewCmdMember returns the group.
func NewCmdMember(f *cmdutil.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "member <command>",
		Short: "See processes, targets and their load",
	}
	cmd.AddCommand(list.NewCmdList(f, nil))
	return cmd
}
