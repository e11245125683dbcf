// Package list implements the command that lists members and their targets.
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
	IO     *iostreams.IOStreams
	Client func(address string) *cmdutil.Client

	Router string
	JSON   bool
}

// NewCmdList returns the command; tests pass runF to replace its run function.
func NewCmdList(f *cmdutil.Factory, runF func(*ListOptions) error) *cobra.Command {
	opts := &ListOptions{IO: f.IOStreams, Client: f.Client}
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List processes and targets as one process knows them",
		Long: `List processes and targets as one router or agent knows them, with the age of
their load reports. Another process's view may differ for a moment.`,
		Example: `  $ capersaddle member list --router 127.0.0.1:8081`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(opts)
			}
			return listRun(cmd.Context(), opts)
		},
	}
	cmdutil.AddRouterFlag(cmd, &opts.Router)
	cmdutil.AddJSONFlag(cmd, &opts.JSON)
	return cmd
}

func listRun(ctx context.Context, opts *ListOptions) error {
	members, err := opts.Client(opts.Router).Members(ctx)
	if err != nil {
		return err
	}
	if opts.JSON {
		return cmdutil.PrintJSON(opts.IO.Out, members)
	}
	var rows [][]string
	for _, m := range members {
		rows = append(rows, rowsOf(m)...)
	}
	return cmdutil.Table(opts.IO.Out, []string{"MEMBER", "ROLE", "DATA CENTER", "STANDING", "TARGET", "POOL", "IN FLIGHT", "LIMIT", "HEARD"}, rows)
}

func rowsOf(m process.MemberRow) [][]string {
	standing := m.Standing
	if m.Leaving {
		standing += ", leaving"
	}
	if !m.Steady {
		standing += ", flapping"
	}
	first := []string{m.ID, m.Role, m.DataCenter, standing}
	if len(m.Targets) == 0 {
		return [][]string{append(first, "-", "-", "-", "-", "-")}
	}
	rows := make([][]string, 0, len(m.Targets))
	heard := (time.Duration(m.LoadAgeMS) * time.Millisecond).Round(time.Millisecond)
	for _, target := range m.Targets {
		name := target.ID
		if target.Leaving {
			name += " (leaving)"
		}
		rows = append(rows, append(append([]string{}, first...), name, target.Pool, fmt.Sprint(target.InFlight), fmt.Sprint(target.Limit), heard.String()+" ago"))
	}
	return rows
}
