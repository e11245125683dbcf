package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/fault"
)

// During a backoff the gate refuses new and queued requests, with the time that remains. After it
// one request probes the target, and the other queued ones wait for its answer.
func TestBackoffRefusesThenProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := NewGate(DefaultOptions())
		var before []*Place
		for range g.Load().Limit {
			place, refusal := g.Admit(t.Context(), Ticket{})
			is.True(refusal == nil)
			before = append(before, place)
		}
		waiting := make(chan *fault.Error, 1)
		go func() {
			_, refusal := g.Admit(t.Context(), Ticket{Wait: true})
			waiting <- refusal
		}()
		synctest.Wait()
		g.BackOff(3 * time.Second)
		is.Equal((<-waiting).RetryAfter, 3*time.Second)
		g.BackOff(time.Second) // the longest backoff applies
		g.Answered()           // an answer to an earlier request doesn't end the backoff
		before[0].Release()
		time.Sleep(2 * time.Second)
		_, refusal := g.Admit(t.Context(), Ticket{Wait: true})
		is.Equal(refusal.Kind, fault.Overloaded)
		is.Equal(refusal.State, fault.NotRun)
		is.Equal(refusal.RetryAfter, time.Second)
		time.Sleep(time.Second)
		probe, refusal := g.Admit(t.Context(), Ticket{})
		is.True(refusal == nil)
		for range 2 {
			go func() {
				place, _ := g.Admit(t.Context(), Ticket{Wait: true})
				place.Release()
			}()
		}
		before[1].Release()
		synctest.Wait()
		is.Equal(g.Load().Queued, 2)
		g.Answered()
		synctest.Wait()
		is.Equal(g.Load().Queued, 0)
		probe.Release()
		for _, place := range before[2:] {
			place.Release()
		}
		is.Equal(g.OwnInFlight(), 0)
	})
}

// If a probe ends without an answer, the next request probes the target.
func TestNextRequestProbesAfterUnansweredProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := NewGate(DefaultOptions())
		g.BackOff(time.Second)
		time.Sleep(time.Second)
		for range 3 {
			probe, refusal := g.Admit(t.Context(), Ticket{})
			is.True(refusal == nil)
			timeoutCtx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, refusal = g.Admit(timeoutCtx, Ticket{Wait: true})
			is.True(refusal != nil)
			cancel()
			probe.Release()
		}
	})
}
