// Package root holds the command that all others hang under.
package root

import (
	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/pkg/cmd/agent"
	"github.com/capersaddle/capersaddle/pkg/cmd/config"
	"github.com/capersaddle/capersaddle/pkg/cmd/dev"
	"github.com/capersaddle/capersaddle/pkg/cmd/exec"
	"github.com/capersaddle/capersaddle/pkg/cmd/fake"
	"github.com/capersaddle/capersaddle/pkg/cmd/member"
	"github.com/capersaddle/capersaddle/pkg/cmd/query"
	"github.com/capersaddle/capersaddle/pkg/cmd/router"
	"github.com/capersaddle/capersaddle/pkg/cmd/target"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
)

// NewCmdRoot returns the command tree.
func NewCmdRoot(f *cmdutil.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "capersaddle <command>",
		Short: "Router fleet for very many returning chats",
		Long: `capersaddle routes requests from callers to model engines and plain services.

Exit codes: 0 done, 1 failed, 2 wrong use or bad settings, 3 refused and
nothing was changed, 4 not settled (send the same command again under its id),
5 not to be reached now.`,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return fault.New(fault.BadRequest, fault.NotRun, "%v", err)
	})
	cmd.SetIn(f.IOStreams.In)
	cmd.SetOut(f.IOStreams.Out)
	cmd.SetErr(f.IOStreams.ErrOut)
	cmd.AddCommand(
		dev.NewCmdDev(f, nil),
		router.NewCmdRouter(f, nil),
		agent.NewCmdAgent(f, nil),
		fake.NewCmdFake(f, nil),
		query.NewCmdQuery(f, nil),
		exec.NewCmdExec(f, nil),
		config.NewCmdConfig(f),
		target.NewCmdTarget(f),
		member.NewCmdMember(f),
	)
	return cmd
}
