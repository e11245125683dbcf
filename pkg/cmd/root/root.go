// Package root holds the command that all others hang under.
package root

import (
	"strings"

	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/pkg/cmd/agent"
	"github.com/capersaddle/capersaddle/pkg/cmd/config"
	"github.com/capersaddle/capersaddle/pkg/cmd/dev"
	"github.com/capersaddle/capersaddle/pkg/cmd/exec"
	"github.com/capersaddle/capersaddle/pkg/cmd/explain"
	"github.com/capersaddle/capersaddle/pkg/cmd/fake"
	"github.com/capersaddle/capersaddle/pkg/cmd/gateway"
	"github.com/capersaddle/capersaddle/pkg/cmd/member"
	"github.com/capersaddle/capersaddle/pkg/cmd/quarantine"
	"github.com/capersaddle/capersaddle/pkg/cmd/query"
	"github.com/capersaddle/capersaddle/pkg/cmd/rollouts"
	"github.com/capersaddle/capersaddle/pkg/cmd/router"
	"github.com/capersaddle/capersaddle/pkg/cmd/slot"
	"github.com/capersaddle/capersaddle/pkg/cmd/target"
	"github.com/capersaddle/capersaddle/pkg/cmd/targets"
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
		Args:          cobra.ArbitraryArgs,
		RunE:          help,
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
		gateway.NewCmdGateway(f, nil),
		fake.NewCmdFake(f, nil),
		query.NewCmdQuery(f, nil),
		exec.NewCmdExec(f, nil),
		explain.NewCmdExplain(f, nil),
		rollouts.NewCmdRollouts(f, nil),
		targets.NewCmdTargets(f, nil),
		quarantine.NewCmdQuarantine(f),
		config.NewCmdConfig(f),
		target.NewCmdTarget(f),
		member.NewCmdMember(f),
		slot.NewCmdSlot(f),
	)
	checkArgs(cmd)
	return cmd
}

// help shows the commands, or says that there is none of a name.
func help(cmd *cobra.Command, args []string) error {
	if len(args) == 0 {
		return cmd.Help()
	}
	hint := "see " + cmd.CommandPath() + " --help"
	if near := cmd.SuggestionsFor(args[0]); len(near) > 0 {
		hint = "did you mean " + strings.Join(near, " or ") + "?"
	}
	return fault.New(fault.BadRequest, fault.NotRun, "unknown command %q; %s", args[0], hint)
}

// checkArgs makes wrong arguments of any command an error of wrong use, and
// groups of commands answer as the root does.
func checkArgs(cmd *cobra.Command) {
	if check := cmd.Args; check != nil {
		cmd.Args = func(cmd *cobra.Command, args []string) error {
			if err := check(cmd, args); err != nil {
				return fault.New(fault.BadRequest, fault.NotRun, "%v; see %s --help", err, cmd.CommandPath())
			}
			return nil
		}
	}
	if cmd.RunE == nil && cmd.HasSubCommands() {
		cmd.Args = cobra.ArbitraryArgs
		cmd.RunE = help
	}
	for _, sub := range cmd.Commands() {
		checkArgs(sub)
	}
}
