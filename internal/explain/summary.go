package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/observe"
)

// Summary counts the requests of logs that were not answered in time, by
// reason.
type Summary struct {
	// Requests are those that have a line; NotLogged are those left out to bound
	// the log, of which nothing more is known.
	Requests  int `json:"requests"`
	NotLogged int `json:"not_logged"`
	// Losses are summed over all the time; the largest come first.
	Losses []Loss `json:"losses"`
	// Spans are the same for each span of time, in order.
	Spans []Span `json:"spans"`
	// DataCenters are the same by the gateways' data centres, in order of name;
	// the name is empty for gateways whose start is not in the logs.
	DataCenters []DataCenter `json:"data_centers"`
	// Prompts say how the shared parts of prompts came to the targets that
	// answered, the most tokens first.
	Prompts []PromptUse `json:"prompts"`
}

// DataCenter is what was lost at the gateways of one data centre.
type DataCenter struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
	Losses   []Loss `json:"losses"`
}

// Span is what was lost in one span of time.
type Span struct {
	From     time.Time `json:"from"`
	Requests int       `json:"requests"`
	Losses   []Loss    `json:"losses"`
}

// Loss counts the requests of a route that ended badly or late for one reason.
type Loss struct {
	Route  string `json:"route"`
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// Reasons of answers that came late; the others are the endings of requests.
const (
	lateQueued   = "late: waited for room"
	lateFill     = "late: waited for its prompt to be read"
	lateAttempts = "late: an earlier attempt failed"
	lateTarget   = "late: the target took long"
)

// lossKey names a kind of loss.
type lossKey struct {
	route, reason string
}

// tally counts losses.
type tally struct {
	requests int
	losses   map[lossKey]int
}

func newTally() *tally {
	return &tally{losses: make(map[lossKey]int)}
}

func (t *tally) add(line Line) {
	t.requests++
	if reason := lossReason(line); reason != "" {
		t.losses[lossKey{line.Route, reason}]++
	}
}

// sorted are the losses, the largest first.
func (t *tally) sorted() []Loss {
	losses := make([]Loss, 0, len(t.losses))
	for key, count := range t.losses {
		losses = append(losses, Loss{Route: key.route, Reason: key.reason, Count: count})
	}
	slices.SortFunc(losses, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Reason, b.Reason))
	})
	return losses
}

// Summarize sums the requests of logs up, as a whole and by spans of time.
func Summarize(lines []Line, interval time.Duration) *Summary {
	whole := newTally()
	spans := make(map[time.Time]*tally)
	centers := make(map[string]*tally)
	centerOf := dataCenters(lines)
	summary := &Summary{Prompts: promptUses(lines)}
	for _, line := range lines {
		switch line.Event {
		case observe.EventRequestsNotLogged:
			summary.NotLogged += line.Count
		case observe.EventRequest:
			whole.add(line)
			spanOf(spans, line, interval).add(line)
			tallyOf(centers, centerOf[line.Process]).add(line)
		}
	}
	summary.Requests, summary.Losses = whole.requests, whole.sorted()
	for from, counted := range spans {
		summary.Spans = append(summary.Spans, Span{From: from, Requests: counted.requests, Losses: counted.sorted()})
	}
	slices.SortFunc(summary.Spans, func(a, b Span) int { return a.From.Compare(b.From) })
	for name, counted := range centers {
		summary.DataCenters = append(summary.DataCenters, DataCenter{Name: name, Requests: counted.requests, Losses: counted.sorted()})
	}
	slices.SortFunc(summary.DataCenters, func(a, b DataCenter) int { return cmp.Compare(a.Name, b.Name) })
	return summary
}

// dataCenters are those of the processes whose start is in the logs.
func dataCenters(lines []Line) map[string]string {
	centers := make(map[string]string)
	for _, line := range lines {
		if line.Event == observe.EventStart {
			centers[line.Process] = line.DataCenter
		}
	}
	return centers
}

// tallyOf is the tally of a key, new if need be.
func tallyOf[K comparable](tallies map[K]*tally, key K) *tally {
	if tallies[key] == nil {
		tallies[key] = newTally()
	}
	return tallies[key]
}

// spanOf is the tally of the span in which a request arrived; lines whose time
// can't be read share the zero one.
func spanOf(spans map[time.Time]*tally, line Line, interval time.Duration) *tally {
	from := time.Time{}
	if ended, err := time.Parse(time.RFC3339Nano, line.Time); err == nil {
		from = ended.Add(-time.Duration(line.TookMs) * time.Millisecond).Truncate(interval)
	}
	return tallyOf(spans, from)
}

// lossReason says why a request was not answered in time; empty if it was.
func lossReason(line Line) string {
	if line.Ending != gateway.EndingAnswered {
		return line.Ending
	}
	if line.WantedMs == 0 || line.FirstMs <= line.WantedMs {
		return ""
	}
	switch {
	case line.QueuedMs*2 > line.FirstMs:
		return lateQueued
	case line.WaitedMs*2 > line.FirstMs:
		return lateFill
	case len(strings.Fields(line.Attempts)) > 1:
		return lateAttempts
	}
	return lateTarget
}

// maxShownLosses bounds how many losses of one span are printed.
const maxShownLosses = 4

// Print writes the summary for a person.
func (s *Summary) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, s.text()); err != nil {
		return errors.Wrap(err, "print")
	}
	return errors.Wrap(table.Flush(), "print")
}

// text is the summary with cells parted by tabs.
func (s *Summary) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d requests in the logs, %d more not logged\n\nroute\treason\trequests\n", s.Requests, s.NotLogged)
	for _, loss := range s.Losses {
		fmt.Fprintf(&text, "%s\t%s\t%d\n", loss.Route, loss.Reason, loss.Count)
	}
	text.WriteString("\nfrom\trequests\tlost most\n")
	for _, span := range s.Spans {
		fmt.Fprintf(&text, "%s\t%d\t%s\n", span.From.Format("15:04:05.0"), span.Requests, describeLosses(span.Losses))
	}
	text.WriteString("\ndata centre\trequests\tlost most\n")
	for _, center := range s.DataCenters {
		fmt.Fprintf(&text, "%s\t%d\t%s\n", cmp.Or(center.Name, "unknown"), center.Requests, describeLosses(center.Losses))
	}
	if len(s.Prompts) > 0 {
		text.WriteString("\nshared parts of prompts\tparts\ttokens\n")
	}
	for _, prompt := range s.Prompts {
		fmt.Fprintf(&text, "%s\t%d\t%d\n", prompt.Origin, prompt.Parts, prompt.Tokens)
	}
	return text.String()
}

// most names the largest losses.
func describeLosses(losses []Loss) string {
	var shown []string
	for _, loss := range losses[:min(maxShownLosses, len(losses))] {
		shown = append(shown, fmt.Sprintf("%d %s (%s)", loss.Count, loss.Reason, loss.Route))
	}
	return strings.Join(shown, ", ")
}
