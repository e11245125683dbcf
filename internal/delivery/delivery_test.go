package delivery_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/delivery"
	"github.com/capersaddle/capersaddle/internal/fault"
)

func yes() bool { return true }
func no() bool  { return false }

func TestAfter(t *testing.T) {
	cases := map[string]struct {
		repeat  delivery.RepeatPolicy
		most    int
		begun   bool
		spare   func() bool
		outcome delivery.Outcome
		step    delivery.Step
		kind    fault.Kind
		state   fault.RunState
	}{
		"not sent goes elsewhere":               {delivery.AtMostOnce, 1, false, yes, delivery.Unsent, delivery.Again, "", ""},
		"rejected goes elsewhere":               {delivery.AtMostOnce, 1, false, yes, delivery.Rejected, delivery.Again, "", ""},
		"rejected without spare was not run":    {delivery.AtMostOnce, 1, false, no, delivery.Rejected, delivery.GiveUp, fault.Overloaded, fault.NotRun},
		"not sent without spare was not run":    {delivery.AtMostOnce, 1, false, no, delivery.Unsent, delivery.GiveUp, fault.NoTarget, fault.NotRun},
		"lost at most once may have run":        {delivery.AtMostOnce, 2, false, yes, delivery.Lost, delivery.GiveUp, fault.TargetFailed, fault.Unknown},
		"silent at most once may have run":      {delivery.AtMostOnce, 2, false, yes, delivery.Silent, delivery.GiveUp, fault.Deadline, fault.Unknown},
		"failed at most once is relayed":        {delivery.AtMostOnce, 2, false, yes, delivery.Failed, delivery.Relay, "", ""},
		"lost repeatable goes elsewhere":        {delivery.Repeatable, 2, false, yes, delivery.Lost, delivery.Again, "", ""},
		"failed repeatable goes elsewhere":      {delivery.Repeatable, 2, false, yes, delivery.Failed, delivery.Again, "", ""},
		"failed without spare is relayed":       {delivery.Repeatable, 2, false, no, delivery.Failed, delivery.Relay, "", ""},
		"one target only":                       {delivery.Repeatable, 1, false, yes, delivery.Lost, delivery.GiveUp, fault.TargetFailed, fault.Unknown},
		"cut resumable goes on":                 {delivery.Resumable, 2, true, yes, delivery.Cut, delivery.Resume, "", ""},
		"cut resumable without spare is broken": {delivery.Resumable, 2, true, no, delivery.Cut, delivery.Abort, "", ""},
		"cut repeatable is broken":              {delivery.Repeatable, 2, true, yes, delivery.Cut, delivery.Abort, "", ""},
		"cut at most once is broken":            {delivery.AtMostOnce, 2, true, yes, delivery.Cut, delivery.Abort, "", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			made := delivery.New(tc.repeat, tc.most)
			if tc.begun {
				made.Begin()
			}
			verdict := made.After(tc.outcome, tc.spare)
			is.Equal(verdict.Step, tc.step)
			is.Equal(verdict.Kind, tc.kind)
			is.Equal(verdict.State, tc.state)
		})
	}
}

// promises are the statuses that say a request did not and will not run.
var promises = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// TestPromises plays any outcomes: at most once is kept, targets are bounded,
// nothing is repeated behind the begin of an answer but a resumable stream,
// and whoever is told that a request has not run is told the truth.
func TestPromises(t *testing.T) {
	outcomes := []delivery.Outcome{delivery.Unsent, delivery.Rejected, delivery.Lost, delivery.Failed, delivery.Silent, delivery.Cut}
	rapid.Check(t, func(t *rapid.T) {
		repeat := rapid.SampledFrom([]delivery.RepeatPolicy{delivery.AtMostOnce, delivery.Repeatable, delivery.Resumable}).Draw(t, "repeat")
		most := rapid.IntRange(1, 4).Draw(t, "most")
		made := delivery.New(repeat, most)
		ran, begun := 0, false
		for step := 0; ; step++ {
			if step > 30 {
				t.Fatal("the delivery does not end")
			}
			outcome := rapid.SampledFrom(outcomes).Draw(t, "outcome")
			if !begun && rapid.Bool().Draw(t, "begin") && outcome == delivery.Cut {
				made.Begin()
				begun = true
			}
			if outcome == delivery.Cut && !begun {
				outcome = delivery.Lost
			}
			if outcome != delivery.Unsent && outcome != delivery.Rejected {
				ran++
			}
			spare := rapid.Bool().Draw(t, "spare")
			verdict := made.After(outcome, func() bool { return spare })
			switch verdict.Step {
			case delivery.Again:
				if begun {
					t.Fatal("sent again behind the begin of an answer")
				}
			case delivery.Resume:
				if !begun || repeat != delivery.Resumable {
					t.Fatal("resumed what can't be")
				}
			case delivery.GiveUp:
				status := fault.AnswerOf(verdict.Kind).Status
				for _, promise := range promises {
					if status == promise && ran > 0 {
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
			if repeat == delivery.AtMostOnce && ran > 0 {
				t.Fatal("a request that may not be repeated is sent again after it may have run")
			}
			if ran >= most {
				t.Fatalf("a further target after %d of %d", ran, most)
			}
		}
	})
}

func TestMayLeaveOnlyWhereASecondRunIsAllowed(t *testing.T) {
	is := is.New(t)
	is.True(!delivery.New(delivery.AtMostOnce, 3).MayAbandon())
	is.True(!delivery.New(delivery.Repeatable, 1).MayAbandon())
	is.True(delivery.New(delivery.Repeatable, 2).MayAbandon())
}
