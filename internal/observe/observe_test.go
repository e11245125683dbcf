package observe_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/observe"
)

func newObserver(out io.Writer) *observe.Observer {
	return observe.New(log.NewWithOptions(out, log.Options{Formatter: log.JSONFormatter}), observe.NewMetrics(prometheus.NewRegistry()))
}

func record(ending string) *gateway.RequestRecord {
	return &gateway.RequestRecord{
		ID: "9c41d07be2a35f68", Route: "r-2yhvz3p", Kind: "stream", Workspace: "hule930", Service: "huvo11a", Session: "91bd3f06",
		ConfigVersion: 12, ProofAge: 900 * time.Millisecond, Status: 200, Ending: ending, TimeToHead: 40 * time.Millisecond, Took: time.Second,
		Attempts: []gateway.AttemptRecord{{Target: "i-7f3a91c2", Address: "10.1.64.42:8141", Load: 3, Mean: 2.5, Candidates: 9, Took: time.Second, Events: 55, Outcome: "answered"}},
	}
}

// TestRequestLinesAreLimited checks that request lines are left out under load, those of failed
// requests last, and that their number is logged.
func TestRequestLinesAreLimited(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	observer := newObserver(&out)
	for range 1000 {
		observer.Request(record(gateway.EndingAnswered))
	}
	answered := strings.Count(out.String(), `"msg":"request"`)
	is.True(answered >= 60 && answered < 200)
	observer.Request(record("target_failed"))
	is.True(strings.Contains(out.String(), `"ending":"target_failed"`))
	is.True(strings.Contains(out.String(), `"msg":"requests_not_logged"`))
}

func TestDependencyLogsTransitionsOnce(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	store := newObserver(&out).NewStoreDependency()
	store.Called("watch", nil)
	for range 3 {
		store.Called("watch", errors.New("away"))
	}
	store.Called("watch", nil)
	store.Called("watch", nil)
	is.Equal(strings.Count(out.String(), `"msg":"store_lost"`), 1)
	is.Equal(strings.Count(out.String(), `"msg":"store_back"`), 1)
}

// TestTargetChangedLogsVersion checks the version in the line of a target: a rollout waits for
// targets with its version.
func TestTargetChangedLogsVersion(t *testing.T) {
	var out strings.Builder
	newObserver(&out).TargetChanged(balance.Target{ID: "i-1", Service: "s", Version: "v2"})
	is.New(t).True(strings.Contains(out.String(), `"service":"s","version":"v2"`))
}

// discardWriter discards lines. The logger skips its work for io.Discard, which would spoil the
// benchmark.
type discardWriter struct{}

func (discardWriter) Write(data []byte) (int, error) { return len(data), nil }

// BenchmarkRequest measures logging and counting one request. Run it with -benchtime 190x: lines
// above the bound are only counted.
func BenchmarkRequest(b *testing.B) {
	for name, level := range map[string]log.Level{"logged": log.InfoLevel, "counted only": log.ErrorLevel} {
		b.Run(name, func(b *testing.B) {
			observer := observe.New(log.NewWithOptions(discardWriter{}, log.Options{Formatter: log.JSONFormatter, Level: level}), observe.NewMetrics(prometheus.NewRegistry()))
			b.ReportAllocs()
			for b.Loop() {
				observer.Request(record("relayed"))
			}
		})
	}
}

// TestAttemptVersionIsLogged checks that an attempt's version is logged only if the target's entry
// has one.
func TestAttemptVersionIsLogged(t *testing.T) {
	for name, tc := range map[string]struct {
		version string
		logged  bool
	}{"none stated": {"", false}, "one stated": {"2026.4", true}} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			request := record("relayed")
			request.Attempts[0].Version = tc.version
			newObserver(&out).Request(request)
			is.New(t).Equal(strings.Contains(out.String(), "version:2026.4"), tc.logged)
			is.New(t).Equal(strings.Contains(out.String(), "version:"), tc.logged)
		})
	}
}
