// Package explain holds the command that tells from logs what became of a
// request, a target or a configuration.
package explain

import (
	"encoding/json"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/internal/explain"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// ExplainOptions are the command's options.
type ExplainOptions struct {
	IO *iostreams.IOStreams

	Subject string
	Files   []string
	JSON    bool
}

// NewCmdExplain returns the command; runF replaces its work in tests.
func NewCmdExplain(f *cmdutil.Factory, runF func(*ExplainOptions) error) *cobra.Command {
	opts := &ExplainOptions{IO: f.IOStreams}
	cmd := &cobra.Command{
		Use:   "explain <id> [<log file>...]",
		Short: "Tell from logs what became of a request, target or configuration",
		Long: `Put together, from the log lines of many processes, the story of one
request (its attempt id), target (its id) or configuration (version:N), in order
of time, and name the likely cause of a request's end.

Without files the logs come from standard input. Whatever stands before the JSON
of a line is passed over.`,
		Example: `  $ capersaddle explain 9c41d07be2a35f68 gateway-*.log
  $ capersaddle explain version:12 --json < all.log`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.Subject, opts.Files = args[0], args[1:]
			if runF != nil {
				return runF(opts)
			}
			return explainRun(opts)
		},
	}
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "print JSON")
	return cmd
}

func explainRun(opts *ExplainOptions) error {
	lines, unread, err := readAll(opts)
	if err != nil {
		return err
	}
	story := explain.Tell(opts.Subject, lines)
	story.Unread = unread
	if len(story.Lines) == 0 {
		return fault.New(fault.BadRequest, fault.NotRun, "no line of %d tells of %q; look at the logs of all gateways of the time, and at requests_not_logged", len(lines), opts.Subject)
	}
	if opts.JSON {
		encoder := json.NewEncoder(opts.IO.Out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(story), "print")
	}
	return story.Print(opts.IO.Out)
}

func readAll(opts *ExplainOptions) ([]explain.Line, int, error) {
	if len(opts.Files) == 0 {
		return explain.Read(opts.IO.In)
	}
	var all []explain.Line
	unread := 0
	for _, name := range opts.Files {
		lines, passed, err := readFile(name)
		if err != nil {
			return nil, 0, err
		}
		all = append(all, lines...)
		unread += passed
	}
	return all, unread, nil
}

func readFile(name string) ([]explain.Line, int, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, fault.New(fault.BadRequest, fault.NotRun, "%v", err)
	}
	defer func() { _ = file.Close() }()
	return explain.Read(io.Reader(file))
}
