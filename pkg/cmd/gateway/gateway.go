// Package gateway implements the command that runs a gateway.
package gateway

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/logsink"
	"github.com/capersaddle/capersaddle/internal/observe"
	"github.com/capersaddle/capersaddle/internal/process"
	"github.com/capersaddle/capersaddle/internal/settings"
	"github.com/capersaddle/capersaddle/internal/signals"
	"github.com/capersaddle/capersaddle/internal/usage"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// EnvSettings is the environment variable that names the settings file if no argument does.
const EnvSettings = "CAPERSADDLE_CONFIG"

// GatewayOptions holds the command's options.
type GatewayOptions struct {
	IO *iostreams.IOStreams

	File string
}

// NewCmdGateway returns the command; tests pass runF to replace its run function.
func NewCmdGateway(f *cmdutil.Factory, runF func(*GatewayOptions) error) *cobra.Command {
	opts := &GatewayOptions{IO: f.IOStreams}
	cmd := &cobra.Command{
		Use:   "gateway [<settings file>]",
		Short: "Run a gateway on the users' platform",
		Long: `Run a gateway from a settings file (JSON with comments), or from the one
that ` + EnvSettings + ` names. It logs JSON lines to standard output.

On SIGTERM it accepts no new callers, waits for requests in flight and ends. On
SIGHUP it reads the settings file again.`,
		Example: `  $ capersaddle gateway examples/gateway.json`,
		Args:    cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.File = os.Getenv(EnvSettings)
			if len(args) > 0 {
				opts.File = args[0]
			}
			if opts.File == "" {
				return fault.New(fault.BadRequest, fault.NotRun, "no settings file; name one, or set %s", EnvSettings)
			}
			if runF != nil {
				return runF(opts)
			}
			return gatewayRun(opts)
		},
	}
	return cmd
}

// gcPercent is the heap growth between two collections, in percent. A gateway's heap is only a
// few MB, so that garbage under the usual value of 100 makes up a tenth of its memory. A
// collection takes a few milliseconds of processor time, once in several seconds.
const gcPercent = 40

// limitHeap makes the garbage collector run earlier than by default, unless the operators have
// set GOGC.
func limitHeap() {
	if _, set := os.LookupEnv("GOGC"); !set {
		debug.SetGCPercent(gcPercent)
	}
}

func gatewayRun(opts *GatewayOptions) error {
	received := signals.Receive()
	ctx, cancel := received.UntilStop(context.Background())
	defer cancel()
	limitHeap()
	loaded, err := settings.LoadSettled(ctx, opts.File, settings.LoadGateway, opts.IO.ErrOut)
	if err != nil {
		return err
	}
	usage.LimitMemory(int64(loaded.Host.MemoryMB * (1 << 20)))
	sink := logsink.New(opts.IO.Out)
	defer sink.CloseSoon()
	logger := process.NewLogger(sink, loaded.Log)
	err = serve(ctx, opts, received, loaded, logger)
	if err != nil && ctx.Err() != nil {
		logger.Warn(observe.EventStopFailed, "error", err.Error())
		err = nil // it was told to stop, and it has
	}
	process.LogEnd(logger, observe.EventStop, loaded.ID, err)
	return err
}

// serve runs a gateway until the context ends, and then stops it as planned.
func serve(ctx context.Context, opts *GatewayOptions, received *signals.Received, loaded *settings.Gateway, logger *log.Logger) error {
	proc, err := process.NewGateway(ctx, loaded, logger)
	if err != nil {
		return err
	}
	if err := proc.Start(ctx); err != nil {
		return errors.CombineErrors(err, proc.Close())
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-received.Reload:
			reload(ctx, opts, proc, logger)
		}
	}
	err = proc.Drain(context.Background())
	return errors.CombineErrors(err, proc.Close())
}

// reload reads the settings again; if they can't be read, the old ones stay in force.
func reload(ctx context.Context, opts *GatewayOptions, proc *process.GatewayProcess, logger *log.Logger) {
	loaded, err := settings.LoadSettled(ctx, opts.File, settings.LoadGateway, opts.IO.ErrOut)
	if err != nil {
		logger.Error(observe.EventReload, "file", opts.File, "taken", false, "reason", err.Error())
		return
	}
	proc.Reload(loaded)
	logger.Info(observe.EventReload, "file", opts.File, "taken", true)
}
