package retrybudget_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/retrybudget"
)

var options = retrybudget.Options{Ratio: 0.2, Slack: 5, Window: 10 * time.Second}

func TestSlackWithoutRequests(t *testing.T) {
	is := is.New(t)
	budgets := retrybudget.New(options)
	now := time.Unix(0, 0)
	spent := 0
	for range 20 {
		if budgets.Spend("a", now) {
			spent++
		}
	}
	is.Equal(spent, 5)
	is.True(!budgets.Spend("a", now.Add(9*time.Second)))
	is.True(budgets.Spend("b", now))                     // another service has its own budget
	is.True(budgets.Spend("a", now.Add(11*time.Second))) // the window has passed
}

// TestEveryWindow checks the limit in every sliding window of any sequence of events.
func TestEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budgets := retrybudget.New(options)
		now := time.Unix(100, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				budgets.Request("a", now)
				requests = append(requests, now)
				continue
			}
			if budgets.Spend("a", now) {
				retries = append(retries, now)
			}
		}
		for _, from := range retries {
			// The window for requests extends further back by the width of two buckets, like
			// the counter.
			const width = 500 * time.Millisecond
			spent := within(retries, from, options.Window)
			earned := within(requests, from.Add(-options.Window-width), 2*options.Window+2*width)
			if float64(spent) > options.Ratio*float64(earned)+options.Slack {
				t.Fatalf("%d retries from %v, with %d requests around", spent, from, earned)
			}
		}
	})
}

func within(times []time.Time, from time.Time, width time.Duration) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(width)) {
			count++
		}
	}
	return count
}
