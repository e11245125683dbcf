package freshness_test

import (
	"testing"
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
