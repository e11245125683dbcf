package cmdutil

import (
	"context"
	"fmt"
	"os"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// AddRouterFlag adds --router.
func AddRouterFlag(cmd *cobra.Command, router *string) {
	cmd.Flags().StringVar(router, "router", "", "operators' `IP:port` of any router (or "+EnvRouter+")")
}

// AddJSONFlag adds --json.
func AddJSONFlag(cmd *cobra.Command, asJSON *bool) {
	cmd.Flags().BoolVar(asJSON, "json", false, "print JSON")
}

// AddCommandFlags adds --id and --who.
func AddCommandFlags(cmd *cobra.Command, id, who *string) {
	cmd.Flags().StringVar(id, "id", "", "command `id`: sending a command again under its id is safe")
	cmd.Flags().StringVar(who, "who", firstOf(os.Getenv("USER"), "unknown"), "`name` kept in the history")
}

// ChangeOptions are the options of commands that change the configuration.
type ChangeOptions struct {
	IO     *iostreams.IOStreams
	Client func(address string) *Client

	Router     string
	ID         string
	Who        string
	IfRevision uint64
	DryRun     bool
	Force      bool
	JSON       bool
	Changes    []config.Change
}

// NewChangeOptions returns options that work through a factory.
func NewChangeOptions(f *Factory) *ChangeOptions {
	return &ChangeOptions{IO: f.IOStreams, Client: f.Client}
}

// AddFlags adds the flags of a change.
func (o *ChangeOptions) AddFlags(cmd *cobra.Command) {
	AddRouterFlag(cmd, &o.Router)
	AddJSONFlag(cmd, &o.JSON)
	AddCommandFlags(cmd, &o.ID, &o.Who)
	cmd.Flags().Uint64Var(&o.IfRevision, "if-revision", 0, "refuse unless the configuration is at this `revision`")
	cmd.Flags().BoolVar(&o.DryRun, "dry-run", false, "check only")
	cmd.Flags().BoolVar(&o.Force, "force", false, "carry out what would leave a pool without a target")
}

// Run sends the command and says how it ended: accepted, refused or unknown.
func (o *ChangeOptions) Run(ctx context.Context) error {
	if o.ID == "" {
		o.ID = uuid.NewString()
	}
	result, err := o.Client(o.Router).Command(ctx, config.Command{
		ID:         o.ID,
		Operator:   o.Who,
		IfRevision: o.IfRevision,
		DryRun:     o.DryRun,
		Force:      o.Force,
		Changes:    o.Changes,
	})
	if err != nil {
		return WithID(err, o.ID)
	}
	if o.JSON {
		return PrintJSON(o.IO.Out, result)
	}
	_, _ = fmt.Fprintln(o.IO.Out, Describe(result))
	return nil
}

// WithID tells how to settle a command whose answer is lost.
func WithID(err error, id string) error {
	if err == nil || fault.KindOf(err) != fault.Unsettled {
		return err
	}
	return fault.New(fault.Unsettled, fault.Unknown, "%s; run it again with --id %s", fault.From(err).Message, id)
}

// Describe says how an accepted command ended.
func Describe(result config.Result) string {
	switch {
	case result.DryRun:
		return fmt.Sprintf("would be accepted; the configuration is at revision %d", result.Revision)
	case result.Repeat:
		return fmt.Sprintf("was accepted before, at revision %d", result.Revision)
	}
	return fmt.Sprintf("accepted at revision %d", result.Revision)
}
