package process

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limit := 4 * time.Second
		closer := newIdleCloser(func() time.Duration { return limit })
		resting, restingPeer := net.Pipe()
		busy, busyPeer := net.Pipe()
		defer func() { _ = busy.Close() }()
		closer.connState(resting, http.StateIdle)
		closer.connState(busy, http.StateIdle)
		time.Sleep(3 * time.Second)
		closer.connState(busy, http.StateActive) // taken up again in time
		limit = 10 * time.Second                 // a later configuration
		time.Sleep(2 * time.Second)
		_, err := restingPeer.Read(make([]byte, 1))
		is.True(err != nil) // closed after the limit that it began to rest under
		closer.connState(busy, http.StateIdle)
		time.Sleep(9 * time.Second)
		go func() { _, _ = busy.Write([]byte{1}) }()
		_, err = busyPeer.Read(make([]byte, 1))
		is.NoErr(err) // rests under the later one
		closer.connState(busy, http.StateClosed)
		is.Equal(len(closer.timers), 0)
	})
}
