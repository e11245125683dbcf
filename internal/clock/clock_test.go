package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/clock"
)

// TestSuspension checks that ages include a suspension, in virtual time too, and that they never
// decrease.
func TestSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		at := clock.Check()
		before := clock.Suspended()
		time.Sleep(time.Second)
		is.Equal(clock.Since(at), time.Second)
		defer clock.Simulate(10 * time.Second)()
		is.Equal(clock.Since(at), time.Second) // Check has not been called since
		is.True(clock.Check().Sub(at) >= 11*time.Second)
		is.True(clock.Since(at) < 11*time.Second+time.Second)
		is.Equal(clock.Until(at), -clock.Since(at))
		is.True(clock.Suspended()-before >= 10*time.Second)
		defer clock.Simulate(-5 * time.Second)() // a real host's clock does not go back
		is.True(clock.Check().Sub(at) >= 11*time.Second)
		defer clock.Simulate(5*time.Second + time.Millisecond)() // too short to distinguish from a lost processor
		is.True(clock.Check().Sub(at) < 11*time.Second+time.Millisecond)
	})
}

func BenchmarkCheck(b *testing.B) {
	for b.Loop() {
		clock.Check()
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		clock.Now()
	}
}
