// Package root implements the root command.
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
		Short: "Router fleet for very large numbers of returning chats",
		Long: `capersaddle routes requests from callers to model engines and plain services.

Exit codes: 0 success, 1 failure, 2 wrong usage or invalid settings, 3 refused and
nothing was changed, 4 outcome unknown (run the same command again with its id),
5 currently not reachable.`,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.ArbitraryArgs,
		RunE:          showHelp,
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
	wrapArgErrors(cmd)
	return cmd
}

// showHelp shows the help, or returns an error for an unknown command.
func showHelp(cmd *cobra.Command, args []string) error {
	if len(args) == 0 {
		return cmd.Help()
	}
	hint := "see " + cmd.CommandPath() + " --help"
	if suggestions := cmd.SuggestionsFor(args[0]); len(suggestions) > 0 {
		hint = "did you mean " + strings.Join(suggestions, " or ") + "?"
	}
	return fault.New(fault.BadRequest, fault.NotRun, "unknown command %q; %s", args[0], hint)
}

// wrapArgErrors makes invalid arguments of each command a fault of kind BadRequest, and makes
// command groups handle unknown commands as the root command does.
func wrapArgErrors(cmd *cobra.Command) {
	if validate := cmd.Args; validate != nil {
		cmd.Args = func(cmd *cobra.Command, args []string) error {
			if err := validate(cmd, args); err != nil {
				return fault.New(fault.BadRequest, fault.NotRun, "%v; see %s --help", err, cmd.CommandPath())
			}
			return nil
		}
	}
	if cmd.RunE == nil && cmd.HasSubCommands() {
		cmd.Args = cobra.ArbitraryArgs
		cmd.RunE = showHelp
	}
	for _, sub := range cmd.Commands() {
		wrapArgErrors(sub)
	}
}
