package process_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// Seen: engines of a service of nine ended one after the other, most right after they had
// begun anew; a request under which three had ended was sent on to 9 and to 12 more, and 17
// and 19 ended in all. Each end broke off what other callers had there.
//
// How it came about: one request ended every target that began to run it, and was sent
// again, by callers, to whichever gateway. Each gateway left the ended target out and took
// the request, when it came again, for a new one, for the next target.
//
// Cause: gateways kept and shared what targets did to requests, and nothing of what a
// request did to targets. Proved by the logs of four gateways: the same request was under
// way at every target that ended, one sent attempt each time, while all the others
// under way there varied.

const (
	// fatalBody is that of the request which ends its targets.
	fatalBody = "a request that ends its targets"
	// fatalTargets is how many targets its service has.
	fatalTargets = 8
	// lifeless is how long a target is away after its end.
	lifeless = 1500 * time.Millisecond
	// enoughCrashes is after how many ends a request must be stopped, learning how long
	// the gateways have to learn of that, and mostLater how often it may be sent after.
	enoughCrashes = 3
	learning      = 3 * time.Second
	mostLater     = 3
)

// fatalFleet is some gateways before targets that end under a request.
func fatalFleet(t *testing.T, gateways int, fatal emulator.Fatal, keepsID bool) *fleet {
	t.Helper()
	f := newFleet(t, 0)
	for _, server := range append(f.engines, f.plain...) {
		f.platform.Leave(server)
	}
	for i := range fatalTargets {
		for _, service := range []string{"engine", "plain"} {
			options := emulator.ServerOptions{ID: fmt.Sprintf("%s-%d", service, i), Work: 20 * time.Millisecond, Fatal: &fatal, KeepsID: keepsID}
			if service == "engine" {
				options.Events, options.Gap = 6, 10*time.Millisecond
			}
			if _, err := f.platform.AddServer(service, "zone", "127.0.0.1:0", options); err != nil {
				t.Fatal(err)
			}
		}
	}
	var seeds []string
	for i := range gateways {
		f.gateways = append(f.gateways, f.gateway(t, gatewayName(i), seeds))
		seeds = append(seeds, f.gateways[i].Addresses().Link)
	}
	for _, gateway := range f.gateways {
		eventually(t, "a gateway is ready", gateway.Ready)
	}
	return f
}

// fatalCallers send the fatal request again and again, to each gateway in turn, and sound
// ones besides, of which every other one is like all the others.
type fatalCallers struct {
	sound, served atomic.Int64
	// last is the last answer to the fatal request.
	last   atomic.Pointer[answer]
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

const (
	fatalEvery = 120 * time.Millisecond
	soundEvery = 15 * time.Millisecond
)

func (f *fleet) startFatalCallers(t *testing.T, path string) *fatalCallers {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	c := &fatalCallers{cancel: cancel}
	c.repeat(ctx, fatalEvery, func(number int) {
		got := f.callWithBody(number%len(f.gateways), path, fmt.Sprintf("fatal-%d", number), fatalBody)
		c.last.Store(&got)
	})
	c.repeat(ctx, soundEvery, func(number int) {
		body := "alike"
		if number%2 == 0 {
			body = fmt.Sprintf("sound %d", number)
		}
		got := f.callWithBody(number%len(f.gateways), path, fmt.Sprintf("sound-%d", number), body)
		c.sound.Add(1)
		if got.err == nil && got.status == http.StatusOK {
			c.served.Add(1)
		}
	})
	t.Cleanup(c.stop)
	return c
}

// repeat does something at a steady pace, beside what has been begun before.
func (c *fatalCallers) repeat(ctx context.Context, every time.Duration, do func(number int)) {
	c.wait.Go(func() {
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			c.wait.Go(func() { do(number) })
		}
	})
}

func (c *fatalCallers) stop() {
	c.cancel()
	c.wait.Wait()
}

// fatalSince counts the sendings of the fatal request from a moment on.
func (f *fleet) fatalSince(service string, from time.Time) int {
	count := 0
	for _, run := range f.platform.RunsOf(service) {
		if run.Body == fatalBody && !run.At.Before(from) {
			count++
		}
	}
	return count
}

// awaitStopped waits until enough targets have ended and the time to learn of it is over,
// and some more, in which a request that is not stopped would end many others.
func (f *fleet) awaitStopped(t *testing.T, service string, more time.Duration) (stopped time.Time) {
	t.Helper()
	eventually(t, "three targets have ended", func() bool { return len(f.platform.Crashes(service)) >= enoughCrashes })
	stopped = f.platform.Crashes(service)[enoughCrashes-1].Add(learning)
	eventually(t, "a request that goes on would have shown", func() bool { return time.Now().After(stopped.Add(more)) })
	return stopped
}

// TestARequestThatEndsItsTargets: it is sent no more once three targets have ended under
// it, whichever gateways it came to, and other requests are served on, those that are alike
// among them.
func TestARequestThatEndsItsTargets(t *testing.T) {
	cases := map[string]struct {
		path, service string
		fatal         emulator.Fatal
		keepsID       bool
	}{
		"a stream that may go on elsewhere": {path: "/chat/1", service: "engine", fatal: emulator.Fatal{Body: fatalBody, After: 15 * time.Millisecond, Back: lifeless}},
		"in the middle of a stream":         {path: "/chat/1", service: "engine", fatal: emulator.Fatal{Body: fatalBody, After: 45 * time.Millisecond, Back: lifeless}},
		"a call that may be repeated":       {path: "/ask/1", service: "plain", fatal: emulator.Fatal{Body: fatalBody, After: 10 * time.Millisecond, Back: lifeless}},
		"a call that may not be repeated":   {path: "/pay/1", service: "plain", fatal: emulator.Fatal{Body: fatalBody, After: 10 * time.Millisecond, Back: lifeless}},
		"targets that keep their ids":       {path: "/ask/1", service: "plain", fatal: emulator.Fatal{Body: fatalBody, After: 10 * time.Millisecond, Back: lifeless}, keepsID: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := fatalFleet(t, 4, test.fatal, test.keepsID)
			c := f.startFatalCallers(t, test.path)
			stopped := f.awaitStopped(t, test.service, 3*time.Second)
			c.stop()
			later, ended := f.fatalSince(test.service, stopped), len(f.platform.Crashes(test.service))
			t.Logf("sent %d times later, %d targets ended in all; %d of %d sound requests served", later, ended, c.served.Load(), c.sound.Load())
			is.True(later <= mostLater)
		})
	}
}
