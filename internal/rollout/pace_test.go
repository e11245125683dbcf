package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// streamOutcome returns the outcome of a stream of 41 events, one every 20 ms, after a head of 30
// ms.
func streamOutcome() Outcome {
	return Outcome{
		Service: "models", Route: "chat", Ending: Answered,
		Head: 30 * time.Millisecond, Events: 41, Span: 800 * time.Millisecond,
	}
}

// plainOutcome returns the outcome of an answer without events, after 20 ms.
func plainOutcome() Outcome {
	return Outcome{Service: "desk", Route: "order", Ending: Answered, Head: 20 * time.Millisecond}
}

// withChange returns a changed outcome.
func withChange(outcome Outcome, change func(o *Outcome)) Outcome {
	change(&outcome)
	return outcome
}

// trainedPace returns a Pace that knows streams and plain requests. Some of the streams have a
// prompt to process at 50 tokens per millisecond.
func trainedPace() *Pace {
	pace := NewPace()
	for i := range 200 {
		pace.Learn(plainOutcome())
		pace.Learn(withChange(streamOutcome(), func(o *Outcome) {
			o.Unread = i % 2 * 1000
			o.Head += time.Duration(o.Unread) * time.Millisecond / 50
		}))
	}
	return pace
}

func TestSlow(t *testing.T) {
	tests := map[string]struct {
		outcome     Outcome
		slow, known bool
	}{
		"a usual stream":                 {streamOutcome(), false, true},
		"a usual plain request":          {plainOutcome(), false, true},
		"gaps twice as long":             {withChange(streamOutcome(), func(o *Outcome) { o.Span *= 2 }), false, true},
		"gaps three times as long":       {withChange(streamOutcome(), func(o *Outcome) { o.Span *= 3 }), true, true},
		"a head twice as late":           {withChange(streamOutcome(), func(o *Outcome) { o.Head *= 2 }), false, true},
		"a head three times as late":     {withChange(streamOutcome(), func(o *Outcome) { o.Head *= 3 }), true, true},
		"a long uncached prompt":         {withChange(streamOutcome(), func(o *Outcome) { o.Head, o.Unread = 130*time.Millisecond, 5000 }), false, true},
		"a plain one three times slower": {withChange(plainOutcome(), func(o *Outcome) { o.Head *= 3 }), true, true},
		"a plain one twice as slow":      {withChange(plainOutcome(), func(o *Outcome) { o.Head *= 2 }), false, true},
		"a cold target":                  {withChange(streamOutcome(), func(o *Outcome) { o.Span, o.Cold = o.Span*9, true }), false, false},
		"a failure":                      {withChange(streamOutcome(), func(o *Outcome) { o.Span, o.Ending = o.Span*9, Failed }), false, false},
		"abandoned by the caller, slow":  {withChange(streamOutcome(), func(o *Outcome) { o.Span, o.Ending = o.Span*9, Neutral }), true, true},
		"abandoned before the head":      {Outcome{Service: "models", Route: "chat"}, false, false},
		"few events, gaps unknown":       {withChange(streamOutcome(), func(o *Outcome) { o.Events, o.Span = 2, time.Second }), false, true},
		"another route":                  {withChange(streamOutcome(), func(o *Outcome) { o.Route = "tag" }), false, false},
		"another service":                {withChange(streamOutcome(), func(o *Outcome) { o.Service = "other" }), false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			slow, known := trainedPace().Slow(test.outcome)
			is.Equal(slow, test.slow)   // slow
			is.Equal(known, test.known) // known
		})
	}
}

// TestPaceLearnsOnlyUsualAnswers checks that answers that don't show the usual times are ignored.
func TestPaceLearnsOnlyUsualAnswers(t *testing.T) {
	tests := map[string]struct {
		change func(o *Outcome)
		known  bool
	}{
		"answers":                    {func(*Outcome) {}, true},
		"failures":                   {func(o *Outcome) { o.Ending = Failed }, false},
		"abandoned by callers":       {func(o *Outcome) { o.Ending = Neutral }, false},
		"answers of a cold target":   {func(o *Outcome) { o.Cold = true }, false},
		"answers without any timing": {func(o *Outcome) { o.Head, o.Events = 0, 0 }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pace := NewPace()
			for range minPaceAnswers {
				pace.Learn(withChange(streamOutcome(), test.change))
			}
			_, known := pace.Slow(streamOutcome())
			is.Equal(known, test.known)
		})
	}
}

// TestPaceNeedsEnoughAnswers checks that nothing is slow before enough answers were learned, and
// that the cost of uncached tokens is unknown until some were processed.
func TestPaceNeedsEnoughAnswers(t *testing.T) {
	is := is.New(t)
	pace := NewPace()
	late := withChange(plainOutcome(), func(o *Outcome) { o.Head *= 9 })
	for range minPaceAnswers - 1 {
		pace.Learn(plainOutcome())
	}
	_, known := pace.Slow(late)
	is.True(!known)
	pace.Learn(plainOutcome())
	slow, known := pace.Slow(late)
	is.True(slow)
	is.True(known)
	late.Unread = 10
	_, known = pace.Slow(late)
	is.True(!known)
}

// TestPaceFollowsLoad checks that the usual time follows the load, and isn't moved by outliers.
func TestPaceFollowsLoad(t *testing.T) {
	is := is.New(t)
	pace := trainedPace()
	loaded := withChange(plainOutcome(), func(o *Outcome) { o.Head *= 4 })
	for range 4 {
		pace.Learn(withChange(plainOutcome(), func(o *Outcome) { o.Head = time.Hour }))
	}
	slow, _ := pace.Slow(loaded)
	is.True(slow)
	for range 128 {
		pace.Learn(loaded)
	}
	slow, _ = pace.Slow(loaded)
	is.True(!slow)
}

// TestHeadPartsSeparate checks that the two parts of the head are told apart even if each prompt
// has uncached tokens.
func TestHeadPartsSeparate(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(8, 8))
	pace := NewPace()
	for range 600 {
		unread := 130 + random.IntN(2)*700
		took := (12 + float64(unread)/50) * math.Exp(0.2*random.NormFloat64())
		pace.Learn(withChange(plainOutcome(), func(o *Outcome) {
			o.Unread, o.Head = unread, time.Duration(took*float64(time.Millisecond))
		}))
	}
	for unread, usual := range map[int]float64{130: 14.6, 830: 28.6, 8300: 178} {
		for factor, want := range map[float64]bool{1: false, 1.5: false, 4: true} {
			took := time.Duration(usual * factor * float64(time.Millisecond))
			slow, known := pace.Slow(withChange(plainOutcome(), func(o *Outcome) { o.Unread, o.Head = unread, took }))
			is.True(known)
			is.Equal(slow, want) // unread, factor
		}
	}
}

// TestPaceAmongDifferentTargets checks that few answers are slow by chance, and most of those
// that take four times as long are found, if targets differ by a factor of 1.3 and times vary.
func TestPaceAmongDifferentTargets(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(9, 9))
	answer := func(factor float64) Outcome {
		speed := math.Pow(1.3, float64(random.IntN(3)-1)) * factor
		spread := func(sigma float64) float64 { return speed * math.Exp(sigma*random.NormFloat64()) }
		return withChange(streamOutcome(), func(o *Outcome) {
			o.Head = time.Duration(float64(o.Head) * spread(0.35))
			o.Span = time.Duration(float64(o.Span) * spread(0.15))
		})
	}
	pace := NewPace()
	const answers = 2000
	chance, found := 0, 0
	for range answers {
		usual, late := answer(1), answer(4)
		if slow, _ := pace.Slow(usual); slow {
			chance++
		}
		if slow, _ := pace.Slow(late); slow {
			found++
		}
		pace.Learn(usual)
	}
	is.True(chance < answers*5/100)
	is.True(found > answers*95/100)
}

// TestPaceIsBounded checks that the number of routes is limited, and that the oldest are evicted.
func TestPaceIsBounded(t *testing.T) {
	is := is.New(t)
	pace := NewPace()
	routeOf := func(i int) Outcome {
		return withChange(plainOutcome(), func(o *Outcome) { o.Route = fmt.Sprint("route-", i) })
	}
	for i := range maxPaceRoutes + 100 {
		for range minPaceAnswers {
			pace.Learn(routeOf(i))
		}
	}
	is.Equal(pace.routes.Len(), maxPaceRoutes)
	_, known := pace.Slow(routeOf(0))
	is.True(!known)
	_, known = pace.Slow(routeOf(maxPaceRoutes + 99))
	is.True(known)
}

func BenchmarkPaceSlow(b *testing.B) {
	pace := NewPace()
	outcomes := make([]Outcome, 30)
	for i := range outcomes {
		outcomes[i] = withChange(streamOutcome(), func(o *Outcome) { o.Route = fmt.Sprint("route-", i) })
		for range minPaceAnswers {
			pace.Learn(outcomes[i])
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		pace.Slow(outcomes[i%len(outcomes)])
	}
}
