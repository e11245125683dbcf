package retrybudget_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/retrybudget"
)

var (
	start   = time.Unix(0, 0)
	options = retrybudget.Options{Ratio: 0.2, Slack: 15, Window: 10 * time.Second}
)

// spendAll spends what a budget has left for a service, and returns how much that was.
func spendAll(budgets *retrybudget.Budgets, service string, now time.Time) int {
	spent := 0
	for budgets.Spend(service, now) {
		spent++
	}
	return spent
}

// TestSlackAccrues checks that slack accrues from the start of the router, for each service, up to
// a third of its share.
func TestSlackAccrues(t *testing.T) {
	cases := map[string]struct {
		after time.Duration
		want  int
	}{
		"at the start":      {0, 0},
		"a fifth":           {2 * time.Second, 1},
		"all but a moment":  {10*time.Second - time.Millisecond, 4},
		"a window":          {10 * time.Second, 5},
		"much longer":       {time.Hour, 5},
		"before the start":  {-time.Second, 0},
		"a moment too soon": {2*time.Second - time.Millisecond, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			budgets := retrybudget.New(options, start)
			now := start.Add(tc.after)
			is.Equal(spendAll(budgets, "a", now), tc.want)
			is.Equal(spendAll(budgets, "b", now), tc.want) // another service has its own
		})
	}
}

// TestSlackChanges checks that what was saved up shrinks with the share.
func TestSlackChanges(t *testing.T) {
	is := is.New(t)
	budgets := retrybudget.New(options, start)
	now := start.Add(time.Minute)
	is.True(budgets.Spend("a", now))
	budgets.SetSlack(6)
	is.Equal(spendAll(budgets, "a", now), 2)
	budgets.SetSlack(0)
	is.Equal(spendAll(budgets, "a", now.Add(time.Minute)), 0)
}

// TestEarnedRetriesExpire checks that requests earn four fifths of the ratio, to be spent within
// a twentieth of the window.
func TestEarnedRetriesExpire(t *testing.T) {
	cases := map[string]struct {
		ratio    float64
		requests int
		after    time.Duration
		want     int
	}{
		"too few requests":    {0.2, 6, 0, 0},
		"enough for one":      {0.2, 7, 0, 1},
		"a hundred":           {0.2, 100, 0, 16},
		"two for one request": {2.5, 1, 0, 2},
		"a little later":      {0.2, 100, 370 * time.Millisecond, 16},
		"too late":            {0.2, 100, 500 * time.Millisecond, 0},
		"much later":          {0.2, 100, time.Hour, 0},
		"no ratio":            {0, 100, 0, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			budgets := retrybudget.New(retrybudget.Options{Ratio: tc.ratio, Window: 10 * time.Second}, start)
			for range tc.requests {
				budgets.Request("a", start)
			}
			is.Equal(spendAll(budgets, "b", start), 0)
			is.Equal(spendAll(budgets, "a", start.Add(tc.after)), tc.want)
		})
	}
}

// TestExpiredRetriesAreSaved checks that earned retries that expire are saved up to a third of the
// slack, so that a router with few requests can retry a failure whenever it happens.
func TestExpiredRetriesAreSaved(t *testing.T) {
	cases := map[string]struct {
		requests int
		want     int
	}{
		"none":             {0, 0},
		"two":              {14, 2},
		"more than a part": {1000, 5},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			budgets := retrybudget.New(options, start)
			for range tc.requests {
				budgets.Request("a", start)
			}
			is.Equal(spendAll(budgets, "a", start.Add(500*time.Millisecond)), tc.want)
		})
	}
}

// TestSlackCompletesEarnedFraction checks that a router with few requests can spend a share of the
// slack below one retry: among hundreds of routers no share is larger.
func TestSlackCompletesEarnedFraction(t *testing.T) {
	is := is.New(t)
	budgets := retrybudget.New(retrybudget.Options{Ratio: 0.2, Slack: 2.4, Window: 10 * time.Second}, start)
	now := start.Add(time.Minute)
	is.True(!budgets.Spend("a", now))
	budgets.Request("a", now)
	budgets.Request("a", now)
	is.True(budgets.Spend("a", now))
	is.True(!budgets.Spend("a", now))
}

// TestRatioChanges checks that a changed ratio applies to the requests that follow.
func TestRatioChanges(t *testing.T) {
	is := is.New(t)
	budgets := retrybudget.New(retrybudget.Options{Window: 10 * time.Second}, start)
	budgets.Request("a", start)
	budgets.SetRatio(1.25)
	is.Equal(spendAll(budgets, "a", start), 0)
	budgets.Request("a", start)
	is.Equal(spendAll(budgets, "a", start), 1)
}
