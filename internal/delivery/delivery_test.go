package delivery_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/delivery"
	"github.com/capersaddle/capersaddle/internal/fault"
)

func retryAvailable() bool { return true }
func noRetry() bool        { return false }

func TestAfter(t *testing.T) {
	cases := map[string]struct {
		policy    delivery.RepeatPolicy
		maxRuns   int
		begun     bool
		takeRetry func() bool
		outcome   delivery.Outcome
		step      delivery.Step
		kind      fault.Kind
		state     fault.RunState
	}{
		"unsent is retried":                      {delivery.AtMostOnce, 1, false, retryAvailable, delivery.Unsent, delivery.Again, "", ""},
		"rejected is retried":                    {delivery.AtMostOnce, 1, false, retryAvailable, delivery.Rejected, delivery.Again, "", ""},
		"misdirected is retried":                 {delivery.AtMostOnce, 1, false, retryAvailable, delivery.Misdirected, delivery.Again, "", ""},
		"misdirected without retry was not run":  {delivery.AtMostOnce, 1, false, noRetry, delivery.Misdirected, delivery.GiveUp, fault.NoTarget, fault.NotRun},
		"rejected without retry was not run":     {delivery.AtMostOnce, 1, false, noRetry, delivery.Rejected, delivery.GiveUp, fault.Overloaded, fault.NotRun},
		"unsent without retry was not run":       {delivery.AtMostOnce, 1, false, noRetry, delivery.Unsent, delivery.GiveUp, fault.NoTarget, fault.NotRun},
		"lost at most once may have run":         {delivery.AtMostOnce, 2, false, retryAvailable, delivery.Lost, delivery.GiveUp, fault.TargetFailed, fault.Unknown},
		"silent at most once may have run":       {delivery.AtMostOnce, 2, false, retryAvailable, delivery.Silent, delivery.GiveUp, fault.Deadline, fault.Unknown},
		"failed at most once is relayed":         {delivery.AtMostOnce, 2, false, retryAvailable, delivery.Failed, delivery.Relay, "", ""},
		"lost repeatable is retried":             {delivery.Repeatable, 2, false, retryAvailable, delivery.Lost, delivery.Again, "", ""},
		"failed repeatable is retried":           {delivery.Repeatable, 2, false, retryAvailable, delivery.Failed, delivery.Again, "", ""},
		"failed without retry is relayed":        {delivery.Repeatable, 2, false, noRetry, delivery.Failed, delivery.Relay, "", ""},
		"one target only":                        {delivery.Repeatable, 1, false, retryAvailable, delivery.Lost, delivery.GiveUp, fault.TargetFailed, fault.Unknown},
		"cut resumable is resumed":               {delivery.Resumable, 2, true, retryAvailable, delivery.Cut, delivery.Resume, "", ""},
		"cut resumable without retry is aborted": {delivery.Resumable, 2, true, noRetry, delivery.Cut, delivery.Abort, "", ""},
		"cut repeatable is aborted":              {delivery.Repeatable, 2, true, retryAvailable, delivery.Cut, delivery.Abort, "", ""},
		"cut at most once is aborted":            {delivery.AtMostOnce, 2, true, retryAvailable, delivery.Cut, delivery.Abort, "", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := delivery.New(tc.policy, tc.maxRuns)
			if tc.begun {
				d.Begin()
			}
			verdict := d.After(tc.outcome, tc.takeRetry)
			is.Equal(verdict.Step, tc.step)
			is.Equal(verdict.Kind, tc.kind)
			is.Equal(verdict.State, tc.state)
		})
	}
}

// notRunStatuses are the statuses that promise that a request did not run and will not.
var notRunStatuses = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// TestDeliveryInvariants plays random outcomes and checks that at-most-once requests don't run
// twice, that the number of targets is limited, that only a resumable stream is sent again after
// its answer has begun, and that a request reported as not run has not run.
func TestDeliveryInvariants(t *testing.T) {
	outcomes := []delivery.Outcome{delivery.Unsent, delivery.Rejected, delivery.Misdirected, delivery.Lost, delivery.Failed, delivery.Silent, delivery.Cut}
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]delivery.RepeatPolicy{delivery.AtMostOnce, delivery.Repeatable, delivery.Resumable}).Draw(t, "repeat")
		maxRuns := rapid.IntRange(1, 4).Draw(t, "maxRuns")
		d := delivery.New(policy, maxRuns)
		ran, begun := 0, false
		for step := 0; ; step++ {
			if step > 30 {
				t.Fatal("the delivery does not end")
			}
			outcome := rapid.SampledFrom(outcomes).Draw(t, "outcome")
			if !begun && rapid.Bool().Draw(t, "begin") && outcome == delivery.Cut {
				d.Begin()
				begun = true
			}
			if outcome == delivery.Cut && !begun {
				outcome = delivery.Lost
			}
			if outcome != delivery.Unsent && outcome != delivery.Rejected && outcome != delivery.Misdirected {
				ran++
			}
			retry := rapid.Bool().Draw(t, "retry")
			verdict := d.After(outcome, func() bool { return retry })
			switch verdict.Step {
			case delivery.Again:
				if begun {
					t.Fatal("sent again after the answer had begun")
				}
			case delivery.Resume:
				if !begun || policy != delivery.Resumable {
					t.Fatal("resumed a request that can't be resumed")
				}
			case delivery.GiveUp:
				status := fault.AnswerOf(verdict.Kind).Status
				for _, notRun := range notRunStatuses {
					if status == notRun && ran > 0 {
						t.Fatalf("status %d after %d runs", status, ran)
					}
				}
				if verdict.State == fault.NotRun && ran > 0 || begun {
					t.Fatalf("gave up with %v after %d runs, begun %v", verdict, ran, begun)
				}
				return
			default:
				return
			}
			if policy == delivery.AtMostOnce && ran > 0 {
				t.Fatal("a request that may not be repeated is sent again after it may have run")
			}
			if ran >= maxRuns {
				t.Fatalf("another target after %d of %d runs", ran, maxRuns)
			}
		}
	})
}

func TestMayAbandon(t *testing.T) {
	is := is.New(t)
	is.True(!delivery.New(delivery.AtMostOnce, 3).MayAbandon())
	is.True(!delivery.New(delivery.Repeatable, 1).MayAbandon())
	is.True(delivery.New(delivery.Repeatable, 2).MayAbandon())
}
