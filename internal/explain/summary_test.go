package explain_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/explain"
)

// requestLine returns the log line of a request that ended at a second of a fixed minute.
func requestLine(second, fields string) string {
	return `frontend-1 {"time":"2026-12-02T10:00:` + second + `Z","msg":"request","process":"g","route":"chat",` + fields + "}\n"
}

func TestSummaryReasons(t *testing.T) {
	cases := map[string]struct {
		fields string
		want   string // empty for no loss
	}{
		"in time":           {`"ending":"answered","wanted_ms":300,"first_ms":299`, ""},
		"no target latency": {`"ending":"answered","first_ms":5000`, ""},
		"refused":           {`"ending":"overloaded","wanted_ms":300`, "overloaded"},
		"late: queue":       {`"ending":"answered","wanted_ms":300,"first_ms":400,"queued_ms":250`, "late: waited for room"},
		"late: prompt":      {`"ending":"answered","wanted_ms":300,"first_ms":400,"waited_ms":250`, "late: waited for its prompt to be read"},
		"late: attempt":     {`"ending":"answered","wanted_ms":300,"first_ms":400,"attempts":"a@x=silent(took_ms:300) b@y=answered(took_ms:90)"`, "late: an earlier attempt failed"},
		"late: target":      {`"ending":"answered","wanted_ms":300,"first_ms":400,"attempts":"b@y=answered(took_ms:390)"`, "late: the target took long"},
		"cut":               {`"ending":"cut","wanted_ms":300,"first_ms":80`, "cut"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lines, _, err := explain.Read(strings.NewReader(requestLine("01.5", tc.fields)))
			is.NoErr(err)
			summary := explain.Summarize(lines, time.Second)
			is.Equal(summary.Requests, 1)
			if tc.want == "" {
				is.Equal(len(summary.Losses), 0)
				return
			}
			is.Equal(summary.Losses, []explain.Loss{{Route: "chat", Reason: tc.want, Count: 1}})
		})
	}
}

func TestSummaryBySpans(t *testing.T) {
	is := is.New(t)
	text := requestLine("01.5", `"ending":"overloaded"`) + requestLine("01.9", `"ending":"overloaded"`) +
		requestLine("05.1", `"ending":"deadline","took_ms":600`) + requestLine("07.0", `"ending":"answered"`) +
		`{"time":"2026-12-02T10:00:02Z","msg":"requests_not_logged","process":"g","count":7}` + "\n"
	lines, _, err := explain.Read(strings.NewReader(text))
	is.NoErr(err)
	summary := explain.Summarize(lines, 2*time.Second)
	is.Equal(summary.Requests, 4)
	is.Equal(summary.NotLogged, 7)
	is.Equal(summary.Losses[0], explain.Loss{Route: "chat", Reason: "overloaded", Count: 2})
	is.Equal(len(summary.Spans), 3)
	is.Equal(summary.Spans[1].From.Second(), 4) // by arrival, not by end
	var out strings.Builder
	is.NoErr(summary.Print(&out))
	is.True(strings.Contains(out.String(), "4 requests in the logs, 7 more not logged"))
	is.True(strings.Contains(out.String(), "2 overloaded (chat)"))
}

// promptLine returns the line of a request that arrived at a second and whose prompt a target
// answered after 0.2 s.
func promptLine(second int, target, source, prompt string) string {
	fetch := ""
	if source != "" {
		fetch = ",fetch:" + source
	}
	return requestLine(fmt.Sprintf("%02d.5", second), fmt.Sprintf(
		`"ending":"answered","first_ms":200,"took_ms":500,"prompt":%q,"attempts":"%s@%s-address=answered(took_ms:500,load:1,mean:1.0,open:9%s,events:2)"`,
		prompt, target, target, fetch))
}

// TestPromptOrigins covers the second read, or the fetch, of a part that target a read at second
// 10.
func TestPromptOrigins(t *testing.T) {
	const prompt = "session:5000,own:10"
	cases := map[string]struct {
		lines string
		want  string
	}{
		"at the same target":        {promptLine(20, "a", "", prompt), "held by the target"},
		"fetched":                   {promptLine(20, "b", "a-address", prompt), "fetched from a target that held it"},
		"fetched from a non-holder": {promptLine(20, "b", "c-address", prompt) + promptLine(30, "a", "", "x:1,y:1"), "read again: the named source did not hold it"},
		"no source":                 {promptLine(20, "b", "", prompt) + promptLine(30, "a", "", "x:1,y:1"), "read again: no source was named"},
		"holder gone":               {promptLine(20, "b", "c-address", prompt), "read again: no target that held it answers any more"},
		"during the first read":     {requestLine("10.6", `"ending":"answered","first_ms":300,"took_ms":500,"prompt":"session:5000,own:10","attempts":"b@b-address=answered(took_ms:500)"`), "read beside its first reading"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lines, _, err := explain.Read(strings.NewReader(tc.lines + promptLine(10, "a", "", prompt)))
			is.NoErr(err)
			origins := make(map[string]int)
			for _, use := range explain.Summarize(lines, time.Second).Prompts {
				origins[use.Origin] += use.Tokens
			}
			is.Equal(origins["read for the first time"] >= 5000, true)
			is.Equal(origins[tc.want], 5000)
		})
	}
}

func TestSummaryByDataCenters(t *testing.T) {
	is := is.New(t)
	text := `{"time":"2026-12-02T10:00:00Z","msg":"started","process":"g","data_center":"accra-1"}` + "\n" +
		requestLine("01.5", `"ending":"overloaded"`) + strings.ReplaceAll(requestLine("02.5", `"ending":"answered"`), `"process":"g"`, `"process":"h"`)
	lines, _, err := explain.Read(strings.NewReader(text))
	is.NoErr(err)
	is.Equal(explain.Summarize(lines, time.Second).DataCenters, []explain.DataCenter{
		{Name: "", Requests: 1, Losses: []explain.Loss{}},
		{Name: "accra-1", Requests: 1, Losses: []explain.Loss{{Route: "chat", Reason: "overloaded", Count: 1}}},
	})
}
