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
	cmd.Flags().StringVar(id, "id", "", "command `id`; a command can safely be sent again with the same id")
	cmd.Flags().StringVar(who, "who", firstNonEmpty(os.Getenv("USER"), "unknown"), "`name` recorded in the history")
}

// ChangeOptions holds the options of commands that change the configuration.
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

// NewChangeOptions returns options with the dependencies of a factory.
func NewChangeOptions(f *Factory) *ChangeOptions {
	return &ChangeOptions{IO: f.IOStreams, Client: f.Client}
}

// AddFlags adds the flags of a change.
func (o *ChangeOptions) AddFlags(cmd *cobra.Command) {
	AddRouterFlag(cmd, &o.Router)
	AddJSONFlag(cmd, &o.JSON)
	AddCommandFlags(cmd, &o.ID, &o.Who)
	cmd.Flags().Uint64Var(&o.IfRevision, "if-revision", 0, "refuse the change unless the configuration is at this `revision`")
	cmd.Flags().BoolVar(&o.DryRun, "dry-run", false, "validate the change without applying it")
	cmd.Flags().BoolVar(&o.Force, "force", false, "apply the change even if it leaves a pool without a target")
}

// Run sends the command and prints the result. The error tells whether the command was refused
// or its outcome is unknown.
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

// WithID adds to the error of a command with a lost response how to find out its outcome.
func WithID(err error, id string) error {
	if err == nil || fault.KindOf(err) != fault.Unsettled {
		return err
	}
	return fault.New(fault.Unsettled, fault.Unknown, "%s; run it again with --id %s", fault.From(err).Message, id)
}

// Describe returns the result of an accepted command as a sentence.
func Describe(result config.Result) string {
	switch {
	case result.DryRun:
		return fmt.Sprintf("would be accepted; the configuration is at revision %d", result.Revision)
	case result.Repeat:
		return fmt.Sprintf("was accepted before, at revision %d", result.Revision)
	}
	return fmt.Sprintf("accepted at revision %d", result.Revision)
}
