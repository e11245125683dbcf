// Package fake implements the command that serves fakes of outside systems.
package fake

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/internal/external/fakehosts"
	"github.com/capersaddle/capersaddle/internal/external/fakestore"
	"github.com/capersaddle/capersaddle/internal/external/fakeweights"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/target/fakeengine"
	"github.com/capersaddle/capersaddle/internal/target/fakeservice"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// FakeOptions holds the command's options.
type FakeOptions struct {
	IO *iostreams.IOStreams

	Kind   string
	Listen string
	Name   string
	Models []string
	Hosts  []string
	Step   time.Duration
	Batch  int
	Rate   float64
	// Calls are the addresses of gateways that requests are sent to.
	Calls   []string
	Rollout RolloutOptions
}

// NewCmdFake returns the command; tests pass runF to replace its run function.
func NewCmdFake(f *cmdutil.Factory, runF func(*FakeOptions) error) *cobra.Command {
	opts := &FakeOptions{IO: f.IOStreams}
	cmd := &cobra.Command{
		Use:   "fake <engine|service|store|hosts|weights|platform>",
		Short: "Serve a fake of an outside system",
		Long: `Serve a small fake of a model engine, of a server of a plain service, of the
platform's key-value store, its list of hosts or its weight store, so that routers and agents can
be tried as separate processes on one machine; or of the whole users' platform,
with a store, three engines and three servers of a plain service, to test
gateways. The platform also sends requests and rolls out a version on request. Not for
production use.`,
		Example: `  $ capersaddle fake store --listen 127.0.0.1:9000
  $ capersaddle fake engine --listen 127.0.0.1:9100 --model volta-chat
  $ capersaddle fake platform --listen 127.0.0.1:9300 --calls-to 127.0.0.1:8300 --rollout v2 --rollout-bad late`,
		Args:      cobra.ExactArgs(1),
		ValidArgs: []string{"engine", "service", "store", "hosts", "weights", kindPlatform},
		RunE: func(_ *cobra.Command, args []string) error {
			opts.Kind = args[0]
			if runF != nil {
				return runF(opts)
			}
			if opts.Kind == kindPlatform {
				return platformRun(opts)
			}
			return fakeRun(opts)
		},
	}
	cmd.Flags().StringVar(&opts.Listen, "listen", "127.0.0.1:0", "`IP:port` to serve on; port 0 selects a free port")
	cmd.Flags().StringVar(&opts.Name, "name", "fake", "`name` of the engine or server in its responses")
	cmd.Flags().StringSliceVar(&opts.Models, "model", []string{"volta-chat"}, "`models` that the engine has loaded")
	cmd.Flags().StringSliceVar(&opts.Hosts, "host", nil, "`ids` of the hosts in the list")
	cmd.Flags().DurationVar(&opts.Step, "step", 5*time.Millisecond, "`duration` of one step of the engine")
	cmd.Flags().IntVar(&opts.Batch, "batch", 64, "`number` of answers that run in one step of the engine")
	cmd.Flags().Float64Var(&opts.Rate, "rate", 2, "`fetches` per second that the weight store allows")
	addRolloutFlags(cmd, opts)
	return cmd
}

func handlerFor(opts *FakeOptions) (http.Handler, error) {
	switch opts.Kind {
	case "engine":
		return fakeengine.New(fakeengine.Options{Name: opts.Name, Step: opts.Step, Batch: opts.Batch}, opts.Models...).Handler(), nil
	case "service":
		return fakeservice.New(opts.Name, nil).Handler(), nil
	case "store":
		return fakestore.New().Handler(), nil
	case "hosts":
		return fakehosts.New(opts.Hosts...).Handler(), nil
	case "weights":
		return fakeweights.New(opts.Rate).Handler(), nil
	}
	return nil, fault.New(fault.BadRequest, fault.NotRun, "unknown fake %q; known are engine, service, store, hosts, weights, platform", opts.Kind)
}

func fakeRun(opts *FakeOptions) error {
	handler, err := handlerFor(opts)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return fault.New(fault.BadRequest, fault.NotRun, "%v", err)
	}
	_, _ = fmt.Fprintf(opts.IO.Out, "%s http://%s\n", opts.Kind, listener.Addr())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
