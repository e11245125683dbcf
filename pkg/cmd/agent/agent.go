// Package agent implements the command that runs an agent.
package agent

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/pkg/cmdutil"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// AgentOptions holds the command's options.
type AgentOptions struct {
	IO *iostreams.IOStreams

	File         string
	DrainTimeout time.Duration
}

// NewCmdAgent returns the command; tests pass runF to replace its run function.
func NewCmdAgent(f *cmdutil.Factory, runF func(*AgentOptions) error) *cobra.Command {
	opts := &AgentOptions{IO: f.IOStreams}
	cmd := &cobra.Command{
		Use:   "agent <settings file>",
		Short: "Run an agent",
		Long: `Run an agent from a settings file (JSON with comments).

On SIGTERM or SIGINT it accepts no new work, waits for requests in flight and
ends. A second signal ends it at once.`,
		Example: `  $ capersaddle agent examples/agent.json`,
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.File = args[0]
			if runF != nil {
				return runF(opts)
			}
			return agentRun(opts)
		},
	}
	cmd.Flags().DurationVar(&opts.DrainTimeout, "drain-timeout", 0, "stop waiting for requests in flight after this `time`; 0 waits without a limit")
	return cmd
}

func agentRun(opts *AgentOptions) error {
	return cmdutil.RunProcess(opts.IO, "agent", opts.File, opts.DrainTimeout)
}
