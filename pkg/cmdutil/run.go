package cmdutil

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/process"
	"github.com/capersaddle/capersaddle/internal/settings"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// RunProcess runs a router or an agent from its settings file until SIGTERM or SIGINT, then
// drains it. A second signal ends the drain.
func RunProcess(streams *iostreams.IOStreams, role, file string, drainTimeout time.Duration) error {
	loaded, err := settings.Load(file)
	if err != nil {
		return err
	}
	if loaded.Role != role {
		return fault.New(fault.BadSettings, fault.NotRun, `%s: field "role": found %q; want %q for this command`, file, loaded.Role, role)
	}
	logger := process.NewLogger(streams.ErrOut, loaded.Log)
	err = serve(loaded, logger, drainTimeout)
	process.LogEnd(logger, role+" stopped", loaded.ID, err)
	return err
}

// serve runs a process until a signal to stop, and then drains it.
func serve(loaded *settings.Settings, logger *log.Logger, drainTimeout time.Duration) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	proc, err := process.New(ctx, loaded, logger)
	if err != nil {
		return err
	}
	if err := proc.Start(ctx); err != nil {
		return errors.CombineErrors(err, proc.Close())
	}
	<-ctx.Done()
	stop()
	return drain(proc, drainTimeout)
}

func drain(proc process.Process, timeout time.Duration) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	err := proc.Drain(ctx)
	return errors.CombineErrors(err, proc.Close())
}
