// Package list implements the command that lists the requests, and the parts of prompts, that are held
// back.
package list

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/internal/process"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// ListOptions holds the command's options.
type ListOptions struct {
	IO      *iostreams.IOStreams
	Gateway func(address string) *cmdutil.GatewayClient

	Address string
	JSON    bool
}

// NewCmdList returns the command; tests pass runF to replace its run function.
func NewCmdList(f *cmdutil.Factory, runF func(*ListOptions) error) *cobra.Command {
	opts := &ListOptions{IO: f.IOStreams, Gateway: f.Gateway}
	cmd := &cobra.Command{
		Use:   "list <address>",
		Short: "List the requests and parts of prompts that a gateway holds back",
		Long: `List the requests that the gateway at a metrics address sends to no target, since
several targets crashed while they ran them, and the parts of prompts for which it sends
no request. All gateways hold back the same.

The logs describe a request: its log line has the same print. A part is named with the
workspace of the last request that this gateway has held back for it, and how many it has.`,
		Example: `  $ capersaddle quarantine list 127.0.0.1:8302
  $ capersaddle quarantine list 127.0.0.1:8302 --json`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Address = args[0]
			if runF != nil {
				return runF(opts)
			}
			return listRun(cmd.Context(), opts)
		},
	}
	cmdutil.AddJSONFlag(cmd, &opts.JSON)
	return cmd
}

func listRun(ctx context.Context, opts *ListOptions) error {
	requests, err := opts.Gateway(opts.Address).HeldBack(ctx)
	if err != nil {
		return err
	}
	if opts.JSON {
		return cmdutil.PrintJSON(opts.IO.Out, requests)
	}
	rows := make([][]string, 0, len(requests))
	for _, request := range requests {
		left := (time.Duration(request.RemainingMS) * time.Millisecond).Round(time.Second)
		rows = append(rows, []string{request.Fingerprint, fmt.Sprint(request.Crashes), left.String(), describe(request)})
	}
	return cmdutil.Table(opts.IO.Out, []string{"PRINT", "TARGETS ENDED", "HELD BACK FOR", "WHAT"}, rows)
}

// describe says what is held back.
func describe(held process.HeldRequest) string {
	switch {
	case !held.IsPart:
		return "a request"
	case held.Part == "":
		return "a part; no request with it came here"
	}
	return fmt.Sprintf("part %s; %d requests here, the last of %q", held.Part, held.Requests, held.Workspace)
}
