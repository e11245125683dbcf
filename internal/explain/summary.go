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

// Summary counts the requests in logs that were not answered in time, by reason.
type Summary struct {
	// Requests counts those with a log line. NotLogged counts those that were left out to bound the
	// log, of which nothing else is known.
	Requests  int `json:"requests"`
	NotLogged int `json:"not_logged"`
	// Losses are the totals over the whole time, largest first.
	Losses []Loss `json:"losses"`
	// Spans holds the same counts for each interval of time, in order.
	Spans []Span `json:"spans"`
	// DataCenters holds the same counts by the data centre of the gateways, sorted by name. The
	// name is empty for gateways whose start is not in the logs.
	DataCenters []DataCenter `json:"data_centers"`
	// Prompts counts how the shared parts of prompts reached the targets that answered, sorted by
	// tokens, largest first.
	Prompts []PromptUse `json:"prompts"`
}

// DataCenter holds the losses at the gateways of one data centre.
type DataCenter struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
	Losses   []Loss `json:"losses"`
}

// Span holds the losses in one interval of time.
type Span struct {
	From     time.Time `json:"from"`
	Requests int       `json:"requests"`
	Losses   []Loss    `json:"losses"`
}

// Loss counts the requests of a route that failed or were late for one reason.
type Loss struct {
	Route  string `json:"route"`
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// The reasons of late answers. The other reasons are the endings of requests.
const (
	lateQueued   = "late: waited for room"
	lateFill     = "late: waited for its prompt to be read"
	lateAttempts = "late: an earlier attempt failed"
	lateTarget   = "late: the target took long"
)

// lossKey identifies the route and the reason of a loss.
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

// sorted returns the losses, largest first.
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

// Summarize counts the requests in logs, in total and by intervals of time.
func Summarize(lines []Line, interval time.Duration) *Summary {
	total := newTally()
	spans := make(map[time.Time]*tally)
	centers := make(map[string]*tally)
	centerOf := dataCenters(lines)
	summary := &Summary{Prompts: promptUses(lines)}
	for _, line := range lines {
		switch line.Event {
		case observe.EventRequestsNotLogged:
			summary.NotLogged += line.Count
		case observe.EventRequest:
			total.add(line)
			spanOf(spans, line, interval).add(line)
			tallyOf(centers, centerOf[line.Process]).add(line)
		}
	}
	summary.Requests, summary.Losses = total.requests, total.sorted()
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

// dataCenters maps the processes whose start is in the logs to their data centres.
func dataCenters(lines []Line) map[string]string {
	centers := make(map[string]string)
	for _, line := range lines {
		if line.Event == observe.EventStart {
			centers[line.Process] = line.DataCenter
		}
	}
	return centers
}

// tallyOf returns the tally of a key and creates it if it is missing.
func tallyOf[K comparable](tallies map[K]*tally, key K) *tally {
	if tallies[key] == nil {
		tallies[key] = newTally()
	}
	return tallies[key]
}

// spanOf returns the tally of the interval in which a request arrived. Lines with an unreadable
// time share the zero interval.
func spanOf(spans map[time.Time]*tally, line Line, interval time.Duration) *tally {
	from := time.Time{}
	if ended, err := time.Parse(time.RFC3339Nano, line.Time); err == nil {
		from = ended.Add(-time.Duration(line.TookMs) * time.Millisecond).Truncate(interval)
	}
	return tallyOf(spans, from)
}

// lossReason returns why a request was not answered in time, or an empty string if it was.
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

// maxShownLosses bounds the losses that are printed for one interval.
const maxShownLosses = 4

// Print writes the summary as text tables.
func (s *Summary) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, s.text()); err != nil {
		return errors.Wrap(err, "print")
	}
	return errors.Wrap(table.Flush(), "print")
}

// text returns the summary with cells separated by tabs.
func (s *Summary) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d requests in the logs, %d more not logged\n\nroute\treason\trequests\n", s.Requests, s.NotLogged)
	for _, loss := range s.Losses {
		fmt.Fprintf(&text, "%s\t%s\t%d\n", loss.Route, loss.Reason, loss.Count)
	}
	text.WriteString("\nfrom\trequests\tlargest losses\n")
	for _, span := range s.Spans {
		fmt.Fprintf(&text, "%s\t%d\t%s\n", span.From.Format("15:04:05.0"), span.Requests, describeLosses(span.Losses))
	}
	text.WriteString("\ndata centre\trequests\tlargest losses\n")
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

// describeLosses lists the largest losses.
func describeLosses(losses []Loss) string {
	var shown []string
	for _, loss := range losses[:min(maxShownLosses, len(losses))] {
		shown = append(shown, fmt.Sprintf("%d %s (%s)", loss.Count, loss.Reason, loss.Route))
	}
	return strings.Join(shown, ", ")
}
