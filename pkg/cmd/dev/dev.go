// Package dev implements the command that runs the whole system in one process.
package dev

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/internal/dev"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/process"
	"github.com/capersaddle/capersaddle/internal/settings"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// startTimeout limits the start of the whole stack.
const startTimeout = 60 * time.Second

// DevOptions holds the command's options.
type DevOptions struct {
	IO *iostreams.IOStreams

	Callers  string
	LogLevel string
	Once     bool
	JSON     bool
}

// NewCmdDev returns the command; tests pass runF to replace its run function.
func NewCmdDev(f *cmdutil.Factory, runF func(*DevOptions) error) *cobra.Command {
	opts := &DevOptions{IO: f.IOStreams}
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run the whole system in one process",
		Long: `Run three routers, an agent for each target host and fakes of the
engines, a plain service, the store and the host list, all on loopback.

With --once, run a complete scenario against the system over HTTP and exit with 0
only if every step passes.`,
		Example: `  $ capersaddle dev
  $ capersaddle dev --callers 127.0.0.1:8080
  $ capersaddle dev --once --json`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if runF != nil {
				return runF(opts)
			}
			return devRun(opts)
		},
	}
	cmd.Flags().StringVar(&opts.Callers, "callers", "127.0.0.1:8080", "`IP:port` of the first router for callers; port 0 selects a free port")
	cmd.Flags().StringVar(&opts.LogLevel, "log-level", "warn", "minimum `level` to log: debug, info, warn, error")
	cmd.Flags().BoolVar(&opts.Once, "once", false, "run the scenario and exit")
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "print the scenario's results as JSON")
	return cmd
}

func devRun(opts *DevOptions) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if opts.Once {
		opts.Callers = "127.0.0.1:0"
	}
	logger := process.NewLogger(opts.IO.ErrOut, settings.Log{Level: opts.LogLevel})
	stack, err := dev.New(ctx, dev.Options{Callers: opts.Callers, Log: logger})
	if err != nil {
		return err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := stack.Start(startCtx); err != nil {
		return errors.CombineErrors(err, stack.Close())
	}
	if opts.Once {
		return errors.CombineErrors(runStory(ctx, opts, stack), stack.Close())
	}
	_, _ = fmt.Fprint(opts.IO.Out, stack.Summary())
	<-ctx.Done()
	return stack.Close()
}

// runStory runs the scenario and prints its results.
func runStory(ctx context.Context, opts *DevOptions, stack *dev.Stack) error {
	table := dev.RunStory(ctx, stack)
	if err := printTable(opts, table); err != nil {
		return err
	}
	for _, step := range table {
		if !step.Held {
			return fault.New(fault.Internal, fault.Unknown, "the scenario failed at: %s", step.Name)
		}
	}
	return nil
}

func printTable(opts *DevOptions, table []dev.Step) error {
	if opts.JSON {
		return cmdutil.PrintJSON(opts.IO.Out, table)
	}
	rows := make([][]string, 0, len(table))
	for _, step := range table {
		result := "held"
		if !step.Held {
			result = "BROKEN"
		}
		rows = append(rows, []string{result, step.Name, step.Took.Round(time.Millisecond).String(), step.Seen})
	}
	return cmdutil.Table(opts.IO.Out, []string{"RESULT", "STEP", "TOOK", "SEEN"}, rows)
}
