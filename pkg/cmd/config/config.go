// Package config groups the commands for settings and configuration.
package config

import (
	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/pkg/cmd/config/check"
	"github.com/capersaddle/capersaddle/pkg/cmd/config/history"
	"github.com/capersaddle/capersaddle/pkg/cmd/config/republish"
	"github.com/capersaddle/capersaddle/pkg/cmd/config/set"
	"github.com/capersaddle/capersaddle/pkg/cmd/config/show"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
)

// NewCmdConfig returns the command group.
func NewCmdConfig(f *cmdutil.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config <command>",
		Short: "Check settings, show and change the configuration",
	}
	cmd.AddCommand(
		check.NewCmdCheck(f, nil),
		show.NewCmdShow(f, nil),
		set.NewCmdSet(f, nil),
		history.NewCmdHistory(f, nil),
		republish.NewCmdRepublish(f, nil),
	)
	return cmd
}
