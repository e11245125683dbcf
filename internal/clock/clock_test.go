package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/clock"
)

// TestASuspensionCounts: ages grow by it, in virtual time too, and never shrink.
func TestASuspensionCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		at := clock.Check()
		before := clock.Suspended()
		time.Sleep(time.Second)
		is.Equal(clock.Since(at), time.Second)
		defer clock.Simulate(10 * time.Second)()
		is.Equal(clock.Since(at), time.Second) // nobody has looked yet
		is.True(clock.Check().Sub(at) >= 11*time.Second)
		is.True(clock.Since(at) < 11*time.Second+time.Second)
		is.Equal(clock.Until(at), -clock.Since(at))
		is.True(clock.Suspended()-before >= 10*time.Second)
		defer clock.Simulate(-5 * time.Second)() // no host goes back
		is.True(clock.Check().Sub(at) >= 11*time.Second)
		defer clock.Simulate(5*time.Second + time.Millisecond)() // too short to tell from a lost processor
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
