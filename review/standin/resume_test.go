//go:build review

package standin

import (
	"fmt"
	"time"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// The case "resume" checks the rule LOST on streams: of 12 or more streams that clients take up again
// at machines in touch, while two servers of their software version serve, the share that goes on is at
// least half of the share of new streams that begin.
//
// Four gateways stand before nine model servers of one version. The disturbance: three gateways are
// killed at once and started again a second later; 5 s after they are ready, the fourth one is killed,
// which has thirty streams under way. The clients take these up again at the other three, which are in
// touch, up to three times each. At the same time thirty new streams begin there.

const (
	// resumeEvents and resumeGap make streams of 6 s.
	resumeEvents = 60
	resumeGap    = 100 * time.Millisecond
	// runTime is for how long all gateways run undisturbed first: longer than the streams' route lets a
	// stream last.
	runTime = 16 * time.Second
	// restartTime is the time between the kill of the three gateways and their start.
	restartTime = time.Second
	// streamsEach is the number of streams that are taken up again, and of those that begin.
	streamsEach    = 30
	streamInterval = 20 * time.Millisecond
	// killAfter is how long after the begin of the last stream its gateway is killed.
	killAfter = 1500 * time.Millisecond
	// minResumed and minShare are the rule's figures.
	minResumed = 12
	minShare   = 0.5
)

func playResume(b *bench) (bool, error) {
	if err := b.platform.Accept(streamConfig()); err != nil {
		return false, err
	}
	var engines []*emulator.Server
	for i := range engineCount {
		engine, err := b.addEngine(fmt.Sprintf("engine-%d", i), "v1", resumeEvents, resumeGap)
		if err != nil {
			return false, err
		}
		engines = append(engines, engine)
	}
	if err := b.newFleet(4); err != nil {
		return false, err
	}
	if err := startAll(b.gateways); err != nil {
		return false, err
	}
	oldest, others := b.gateways[0], b.gateways[1:]
	time.Sleep(runTime)
	if b.disturbed {
		for _, g := range others {
			g.kill()
			b.note("%s is killed", g.name)
		}
		time.Sleep(restartTime)
		if err := startAll(others); err != nil {
			return false, err
		}
	}
	time.Sleep(contact)
	addresses := callerAddresses(others)
	running := b.startStreams("old", func(number int) []string {
		at := number % len(addresses)
		return append([]string{oldest.callers}, append(append([]string(nil), addresses[at:]...), addresses[:at]...)...)
	})
	time.Sleep(killAfter)
	if b.disturbed {
		oldest.kill()
		b.note("%s is killed", oldest.name)
	}
	fresh := b.startStreams("new", func(number int) []string { return addresses[number%len(addresses):][:1] })
	resumed := running.count(func(r *reader) bool { return r.resumed })
	continued := running.count(func(r *reader) bool { return r.continued })
	begun := fresh.count(func(r *reader) bool { return r.last > 0 })
	b.noteRuns(engines)
	b.note("%d streams were taken up again, of which %d went on; of %d new streams %d began", resumed, continued, streamsEach, begun)
	if resumed < minResumed {
		return false, nil
	}
	return float64(continued)/float64(resumed) < minShare*float64(begun)/streamsEach, nil
}

// startStreams starts clients of streams one after the other.
func (b *bench) startStreams(name string, addresses func(number int) []string) *readers {
	streams := new(readers)
	for number := range streamsEach {
		streams.start(&reader{
			bench: b, name: fmt.Sprintf("%s-%d", name, number), body: fmt.Sprintf("%s report %d", name, number), path: "/report/1", events: resumeEvents,
			addresses: addresses(number), tries: clientTries, patience: streamTimeout,
		})
		time.Sleep(streamInterval)
	}
	return streams
}
