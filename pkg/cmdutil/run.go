package cmdutil

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/logsink"
	"github.com/capersaddle/capersaddle/internal/process"
	"github.com/capersaddle/capersaddle/internal/settings"
	"github.com/capersaddle/capersaddle/internal/signals"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// RunProcess runs a router or an agent from its settings file until SIGTERM or SIGINT, then
// drains it. A second signal ends the drain. SIGHUP changes nothing: the settings are read at the start
// only.
func RunProcess(streams *iostreams.IOStreams, role, file string, drainTimeout time.Duration) error {
	received := signals.Receive()
	ctx, cancel := received.UntilStop(context.Background())
	defer cancel()
	loaded, err := settings.LoadSettled(ctx, file, settings.Load, streams.ErrOut)
	if err != nil {
		return err
	}
	if loaded.Role != role {
		return fault.New(fault.BadSettings, fault.NotRun, `%s: field "role": found %q; want %q for this command`, file, loaded.Role, role)
	}
	sink := logsink.New(streams.ErrOut)
	defer sink.CloseSoon()
	logger := process.NewLogger(sink, loaded.Log)
	err = serve(ctx, received, loaded, logger, drainTimeout)
	if err != nil && ctx.Err() != nil {
		logger.Warn("the stop was not complete", "error", err)
		err = nil // it was told to stop, and it has
	}
	process.LogEnd(logger, role+" stopped", loaded.ID, err)
	return err
}

// serve runs a process until the context ends, and then drains it.
func serve(ctx context.Context, received *signals.Received, loaded *settings.Settings, logger *log.Logger, drainTimeout time.Duration) error {
	proc, err := process.New(ctx, loaded, logger)
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
			logger.Info("settings are read at the start only")
		}
	}
	return drain(received, proc, drainTimeout)
}

func drain(received *signals.Received, proc process.Process, timeout time.Duration) error {
	ctx, cancel := received.UntilStop(context.Background())
	defer cancel()
	if timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	err := proc.Drain(ctx)
	return errors.CombineErrors(err, proc.Close())
}
