// Package explain implements the command that reconstructs from logs the history of a request,
// a target, a configuration or a roll-out.
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

// ExplainOptions holds the command's options.
type ExplainOptions struct {
	IO *iostreams.IOStreams

	Subject string
	Files   []string
	JSON    bool
	// Summary aggregates all requests instead of explaining one subject.
	Summary bool
	// Interval is the length of a summary's intervals.
	Interval time.Duration
}

// NewCmdExplain returns the command; tests pass runF to replace its run function.
func NewCmdExplain(f *cmdutil.Factory, runF func(*ExplainOptions) error) *cobra.Command {
	opts := &ExplainOptions{IO: f.IOStreams}
	cmd := &cobra.Command{
		Use:   "explain {<id> | --summary} [<log file>...]",
		Short: "Explain from logs what happened to a request, target, configuration or roll-out",
		Long: `Reconstruct, from the log lines of many processes, the timeline of one
request (its attempt id), target (its id), configuration (version:N), service's
roll-outs (rollout:SERVICE) or repeated request (print:FINGERPRINT), and
report the likely cause of a request's outcome.

With --summary, report instead which requests were not answered in time and why,
by route and reason, in total, by time interval and by the gateways' data
centres, and how targets got the shared parts of prompts: held, fetched,
or computed again since the source that a gateway named did not hold them.

Without files, the logs are read from standard input. Text before the JSON
of a line is skipped.`,
		Example: `  $ capersaddle explain 9c41d07be2a35f68 gateway-*.log
  $ capersaddle explain version:12 --json < all.log
  $ capersaddle explain rollout:checkout gateway-*.log
  $ capersaddle explain --summary --every 5s gateway-*.log`,
		RunE: func(_ *cobra.Command, args []string) error {
			if err := parseArgs(opts, args); err != nil {
				return err
			}
			if runF != nil {
				return runF(opts)
			}
			return explainRun(opts)
		},
	}
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "print JSON")
	cmd.Flags().BoolVar(&opts.Summary, "summary", false, "summarize which requests were not answered in time, and why")
	cmd.Flags().DurationVar(&opts.Interval, "every", defaultInterval, "length of the summary's time intervals")
	return cmd
}

// defaultInterval is short enough to tell the effects of a fault from what happens after it.
const defaultInterval = 2 * time.Second

// parseArgs reads the subject, unless a summary is requested, and the files.
func parseArgs(opts *ExplainOptions, args []string) error {
	if opts.Interval <= 0 {
		return fault.New(fault.BadRequest, fault.NotRun, "--every %s: want more than zero", opts.Interval)
	}
	if opts.Summary {
		opts.Files = args
		return nil
	}
	if len(args) == 0 {
		return fault.New(fault.BadRequest, fault.NotRun, "want the id of a request, target, configuration or roll-out, or --summary")
	}
	opts.Subject, opts.Files = args[0], args[1:]
	return nil
}

func explainRun(opts *ExplainOptions) error {
	lines, skipped, err := readAll(opts)
	if err != nil {
		return err
	}
	if opts.Summary {
		return printSummary(opts, explain.Summarize(lines, opts.Interval))
	}
	timeline := explain.NewTimeline(opts.Subject, lines)
	timeline.Unparsed = skipped
	if len(timeline.Lines) == 0 {
		return fault.New(fault.BadRequest, fault.NotRun, "no line of %d mentions %q; check the logs of all gateways at the time, and requests_not_logged", len(lines), opts.Subject)
	}
	if opts.JSON {
		return printJSON(opts.IO.Out, timeline)
	}
	return timeline.Print(opts.IO.Out)
}

func printSummary(opts *ExplainOptions, summary *explain.Summary) error {
	if summary.Requests == 0 {
		return fault.New(fault.BadRequest, fault.NotRun, "the logs contain no requests; want the logs of gateways")
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
	skipped := 0
	for _, name := range opts.Files {
		lines, skippedHere, err := readFile(name)
		if err != nil {
			return nil, 0, err
		}
		all = append(all, lines...)
		skipped += skippedHere
	}
	return all, skipped, nil
}

func readFile(name string) ([]explain.Line, int, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, fault.New(fault.BadRequest, fault.NotRun, "%v", err)
	}
	defer func() { _ = file.Close() }()
	return explain.Read(io.Reader(file))
}
