package fake

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/internal/emulator"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/wait"
)

// RolloutOptions describes the roll-out that the fake platform runs.
type RolloutOptions struct {
	// Version is the version of the new servers; no roll-out if it is empty.
	Version string
	// Bad is their failure mode, a key of failureModes; empty for servers that work.
	Bad string
	// After is the time from the start to the roll-out's order.
	After time.Duration
	// For is the time from the order to its deadline.
	For time.Duration
}

// failureModes holds the ways in which a version may fail, by name.
var failureModes = map[string]emulator.Bad{
	"errors": {Share: 0.5},
	"slow":   {Slower: 6},
	"path":   {Share: 0.6, Path: "/pay/"},
	"late":   {Share: 0.5, After: 4 * time.Second},
	"load":   {Share: 0.6, Above: 2},
}

const (
	// demoCallInterval is the time between two requests of the fake's callers. At this rate,
	// the tenth of the requests that a new version gets is enough to judge it within seconds.
	demoCallInterval = 5 * time.Millisecond
	// demoDrainAfter is the time from a rollback until the new servers drain, and demoDrainFor
	// the time from there until they stop.
	demoDrainAfter = 3 * time.Second
	demoDrainFor   = 3 * time.Second
)

// addRolloutFlags adds the flags of the roll-out and of the callers.
func addRolloutFlags(cmd *cobra.Command, opts *FakeOptions) {
	flags := cmd.Flags()
	flags.StringSliceVar(&opts.Calls, "calls-to", nil, "callers' `IP:port` of gateways to send requests to; for the platform only")
	flags.StringVar(&opts.Rollout.Version, "rollout", "", "`version` of the plain service to roll out; for the platform only")
	flags.StringVar(&opts.Rollout.Bad, "rollout-bad", "", "`failure mode` of the version: "+strings.Join(slices.Sorted(maps.Keys(failureModes)), ", ")+"; good if left out")
	flags.DurationVar(&opts.Rollout.After, "rollout-after", 3*time.Second, "`time` from the start to the roll-out's order")
	flags.DurationVar(&opts.Rollout.For, "rollout-for", 20*time.Second, "`time` from the order to its deadline")
}

// validate returns an error if an option is invalid.
func (o *RolloutOptions) validate() error {
	if _, known := failureModes[o.Bad]; o.Bad != "" && !known {
		return fault.New(fault.BadRequest, fault.NotRun, "--rollout-bad: found %q; want one of %s", o.Bad, strings.Join(slices.Sorted(maps.Keys(failureModes)), ", "))
	}
	if o.Version == demoVersion {
		return fault.New(fault.BadRequest, fault.NotRun, "--rollout: found %q, which the servers have already; want another version", o.Version)
	}
	if o.After < 0 || o.For <= 0 {
		return fault.New(fault.BadRequest, fault.NotRun, "--rollout-after and --rollout-for: found %s and %s; want no time below zero, and one above", o.After, o.For)
	}
	return nil
}

// runDemo sends requests and runs the roll-out, if requested, until the context ends.
func runDemo(ctx context.Context, opts *FakeOptions, platform *emulator.Platform) error {
	var running sync.WaitGroup
	defer running.Wait()
	callers := &emulator.Callers{Addresses: opts.Calls, Host: demoHost, Key: demoKey, Paths: []string{"/pay/1", "/ask/1"}, Every: demoCallInterval}
	if len(opts.Calls) > 0 {
		running.Go(func() { callers.Run(ctx) })
	}
	if opts.Rollout.Version != "" {
		if err := runRollout(ctx, opts, platform, callers); err != nil && ctx.Err() == nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}

func runRollout(ctx context.Context, opts *FakeOptions, platform *emulator.Platform, callers *emulator.Callers) error {
	options := opts.Rollout
	if !wait.For(ctx, options.After) {
		return ctx.Err()
	}
	var bad *emulator.Bad
	if mode, known := failureModes[options.Bad]; known {
		bad = &mode
	}
	if err := addPlainServers(platform, options.Version, bad); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(opts.IO.Out, "ordered %s of %s within %s\n", options.Version, servicePlain, options.For)
	started := time.Now()
	state, err := platform.Play(ctx, emulator.Rollout{
		Service: servicePlain, Version: options.Version, Duration: options.For,
		DrainAfter: demoDrainAfter, DrainFor: demoDrainFor,
		Ended: func(state string) {
			sent, failed := callers.Counts()
			_, _ = fmt.Fprintf(opts.IO.Out, "%s %s after %.1f s; callers sent %d requests, %d failed\n", options.Version, state, time.Since(started).Seconds(), sent, failed)
		},
	})
	return errors.Wrapf(err, "roll-out, %s", state)
}
