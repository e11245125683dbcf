// Package explain holds the command that tells from logs what became of a
// request, a target or a configuration.
package explain

import (
	"encoding/json"
	"io"
	"os"
	"time"

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
	// Summary sums all requests up instead of telling one story.
	Summary bool
	// Every is the length of the spans of a summary.
	Every time.Duration
}

// NewCmdExplain returns the command; runF replaces its work in tests.
func NewCmdExplain(f *cmdutil.Factory, runF func(*ExplainOptions) error) *cobra.Command {
	opts := &ExplainOptions{IO: f.IOStreams}
	cmd := &cobra.Command{
		Use:   "explain {<id> | --summary} [<log file>...]",
		Short: "Tell from logs what became of a request, target, configuration or roll-out",
		Long: `Put together, from the log lines of many processes, the story of one
request (its attempt id), target (its id), configuration (version:N), service's
roll-outs (rollout:SERVICE) or request that came again (print:P), in order of time, and
name the likely cause of a request's end.

With --summary, say instead which requests were not answered in time and why,
summed by route and reason, as a whole, by spans of time and by the gateways' data
centres, and how the shared parts of prompts came to the targets: held, fetched,
or read again since the source that a gateway named did not hold them.

Without files the logs come from standard input. Whatever stands before the JSON
of a line is passed over.`,
		Example: `  $ capersaddle explain 9c41d07be2a35f68 gateway-*.log
  $ capersaddle explain version:12 --json < all.log
  $ capersaddle explain rollout:checkout gateway-*.log
  $ capersaddle explain --summary --every 5s gateway-*.log`,
		RunE: func(_ *cobra.Command, args []string) error {
			if err := takeArgs(opts, args); err != nil {
				return err
			}
			if runF != nil {
				return runF(opts)
			}
			return explainRun(opts)
		},
	}
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "print JSON")
	cmd.Flags().BoolVar(&opts.Summary, "summary", false, "sum up which requests were not answered in time, and why")
	cmd.Flags().DurationVar(&opts.Every, "every", defaultEvery, "length of the spans of a summary")
	return cmd
}

// defaultEvery is short enough to tell what a fault did from what came after.
const defaultEvery = 2 * time.Second

// takeArgs takes the subject, unless all is summed up, and the files.
func takeArgs(opts *ExplainOptions, args []string) error {
	if opts.Every <= 0 {
		return fault.New(fault.BadRequest, fault.NotRun, "--every %s: want more than zero", opts.Every)
	}
	if opts.Summary {
		opts.Files = args
		return nil
	}
	if len(args) == 0 {
		return fault.New(fault.BadRequest, fault.NotRun, "no id of a request, target, configuration or roll-out; or ask for --summary")
	}
	opts.Subject, opts.Files = args[0], args[1:]
	return nil
}

func explainRun(opts *ExplainOptions) error {
	lines, unread, err := readAll(opts)
	if err != nil {
		return err
	}
	if opts.Summary {
		return printSummary(opts, explain.Summarize(lines, opts.Every))
	}
	story := explain.NewTimeline(opts.Subject, lines)
	story.Unparsed = unread
	if len(story.Lines) == 0 {
		return fault.New(fault.BadRequest, fault.NotRun, "no line of %d tells of %q; look at the logs of all gateways of the time, and at requests_not_logged", len(lines), opts.Subject)
	}
	if opts.JSON {
		return printJSON(opts.IO.Out, story)
	}
	return story.Print(opts.IO.Out)
}

func printSummary(opts *ExplainOptions, summary *explain.Summary) error {
	if summary.Requests == 0 {
		return fault.New(fault.BadRequest, fault.NotRun, "the logs hold no request; give those of gateways")
	}
	if opts.JSON {
		return printJSON(opts.IO.Out, summary)
	}
	return summary.Print(opts.IO.Out)
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "print")
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
