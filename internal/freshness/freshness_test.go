package freshness_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/freshness"
)

func TestProof(t *testing.T) {
	is := is.New(t)
	proof := new(freshness.Proof)
	now := time.Unix(100, 0)
	is.True(!proof.Within(time.Hour, now)) // no proof so far
	proof.Note(now)
	is.True(proof.Within(4*time.Second, now.Add(4*time.Second)))
	is.True(!proof.Within(4*time.Second, now.Add(4*time.Second+1)))
	proof.Note(now.Add(-time.Second)) // an older proof is ignored
	age, ok := proof.Age(now.Add(time.Second))
	is.True(ok)
	is.Equal(age, time.Second)
}

// TestAwaitProof checks that a wait ends when a proof covers the time, and not with an older one.
func TestAwaitProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		proof := new(freshness.Proof)
		asked := time.Now()
		is.True(!proof.Covers(asked))
		go func() {
			proof.Note(asked.Add(-1))
			time.Sleep(time.Second)
			proof.Note(asked)
		}()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		is.True(proof.Await(ctx, asked))
		is.Equal(time.Since(asked), time.Second)
		is.True(proof.Covers(asked))
		is.True(!proof.Await(ctx, asked.Add(1))) // nothing newer comes
		is.Equal(time.Since(asked), time.Minute)
	})
}

// TestUnbrokenProof guards against a process that takes what it knows for complete although it was cut
// off in between.
func TestUnbrokenProof(t *testing.T) {
	is := is.New(t)
	proof, start := new(freshness.Proof), time.Unix(100, 0)
	is.Equal(proof.UnbrokenFor(start), time.Duration(0)) // no proof so far
	for step := range 4 {
		proof.Note(start.Add(time.Duration(step) * freshness.MaxGap))
	}
	now := start.Add(4 * freshness.MaxGap)
	is.Equal(proof.UnbrokenFor(now), 4*freshness.MaxGap)
	is.Equal(proof.UnbrokenFor(now.Add(1)), time.Duration(0)) // the last one is too old
	proof.Note(now.Add(1))
	is.Equal(proof.UnbrokenFor(now.Add(1)), time.Duration(0)) // a gap has just ended
	is.Equal(proof.UnbrokenFor(now.Add(freshness.MaxGap)), freshness.MaxGap-1)
	is.Equal(proof.UnbrokenFor(now), time.Duration(0)) // a time before the gap's end
}

// TestBrokenProof guards against a process that takes what it knows for complete although it has passed
// over a part of the history.
func TestBrokenProof(t *testing.T) {
	is := is.New(t)
	proof, start := new(freshness.Proof), time.Unix(100, 0)
	proof.Break(start) // before any proof
	is.Equal(proof.UnbrokenFor(start), time.Duration(0))
	proof.Note(start.Add(time.Second))
	proof.Note(start.Add(3 * time.Second))
	now := start.Add(4 * time.Second)
	is.Equal(proof.UnbrokenFor(now), 3*time.Second)
	proof.Break(now)
	proof.Note(start.Add(3500 * time.Millisecond)) // of a time before the break
	is.Equal(proof.UnbrokenFor(now), time.Duration(0))
	proof.Break(now.Add(-time.Second)) // an earlier break changes nothing
	proof.Note(now.Add(time.Second))
	is.Equal(proof.UnbrokenFor(now.Add(2*time.Second)), 2*time.Second)
	age, _ := proof.Age(now.Add(2 * time.Second))
	is.Equal(age, time.Second) // the newest state is as well known as before
	later := now.Add(time.Minute)
	proof.Break(later)
	proof.Note(later.Add(-time.Second)) // after a gap, but of a time before the break
	is.Equal(proof.UnbrokenFor(later), time.Duration(0))
}
