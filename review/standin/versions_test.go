//go:build review

package standin

import (
	"fmt"
	"time"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// The case "versions" checks the rule ORDER: at most two streams hold events from servers of two
// software versions.
//
// Four gateways stand before nine model servers, five of version v1 and four of v2, which write their
// version into each event. The disturbance: the store is down (503 to every call) for 6 s, so that the
// servers' entries lapse; all gateways are killed and started again meanwhile; 1.8 s after the return
// of the store the entries are back; from 3 s to 10 s after it ten connections a second between gateways
// and servers are reset, one at a time, while a server answers on them.
//
// Clients begin streams in the first 1.5 s after the return of the store, at whichever gateway serves
// them. Others send requests and leave 0.15 s later, 120 a second.

const (
	// longEvents and longGap make streams of 10.5 s.
	longEvents = 105
	longGap    = 100 * time.Millisecond
	// checkpointTime is long enough for the gateways to have written what they need to start again.
	checkpointTime = 9 * time.Second
	// lapseTime is how long after the store went down the entries lapse: three heartbeats of 1.2 s and a
	// little more. downTime is how much longer the gateways, and then the store, are away.
	lapseTime = 4 * time.Second
	downTime  = time.Second
	// beginTime is for how long streams begin after the store's return, beginInterval the time
	// between two, and backTime when the entries are back.
	beginTime     = 1500 * time.Millisecond
	beginInterval = 8 * time.Millisecond
	backTime      = 1800 * time.Millisecond
	// Connections are reset at resetInterval from firstReset to lastReset after the store's return.
	// answering is how recently the server must have sent an event on a connection.
	firstReset    = 3 * time.Second
	lastReset     = 10 * time.Second
	resetInterval = 100 * time.Millisecond
	answering     = 2 * longGap
	// leaverInterval is the time between two clients that leave, and leaverPatience how long they stay.
	leaverInterval = 8 * time.Millisecond
	leaverPatience = 150 * time.Millisecond
	leaversUntil   = 10500 * time.Millisecond
	// maxMixed is how many streams the rule lets hold events of two versions.
	maxMixed = 2
)

func playVersions(b *bench) (bool, error) {
	if err := b.platform.Accept(streamConfig()); err != nil {
		return false, err
	}
	var engines []*emulator.Server
	var proxies []*proxy
	for i := range engineCount {
		engine, err := b.addEngine(fmt.Sprintf("engine-%d", i), versionOf(i), longEvents, longGap)
		if err != nil {
			return false, err
		}
		before, err := newProxy(engine.Address())
		if err != nil {
			return false, err
		}
		engines, proxies = append(engines, engine), append(proxies, before)
		b.enterAt(engine, versionOf(i), before.address())
	}
	if err := b.newFleet(4); err != nil {
		return false, err
	}
	if err := startAll(b.gateways); err != nil {
		return false, err
	}
	time.Sleep(checkpointTime)
	if b.disturbed {
		if err := b.loseStoreAndGateways(engines); err != nil {
			return false, err
		}
	}
	back := time.Now()
	streams := b.beginStreams(back)
	if b.disturbed {
		time.Sleep(time.Until(back.Add(backTime)))
		for i, engine := range engines {
			b.enterAt(engine, versionOf(i), proxies[i].address())
		}
		b.note("the servers' entries are back")
	}
	b.resetAmongLeavers(proxies, back)
	mixed := streams.count((*reader).isMixed)
	begun := streams.count(func(r *reader) bool { return r.last > 0 })
	b.noteRuns(engines)
	b.note("%d streams began, %d of them hold events of two versions; the rule allows %d", begun, mixed, maxMixed)
	return mixed > maxMixed, nil
}

// versionOf returns the version of a server.
func versionOf(number int) string {
	return fmt.Sprintf("v%d", 1+number%2)
}

// loseStoreAndGateways takes the store down until the servers' entries have lapsed and all gateways
// have been killed and started again.
func (b *bench) loseStoreAndGateways(engines []*emulator.Server) error {
	b.platform.Store.SetFaults(emulator.StoreFaults{Down: true})
	b.note("the store is down")
	time.Sleep(lapseTime)
	for _, engine := range engines {
		b.platform.Leave(engine)
	}
	b.note("the servers' entries have lapsed")
	for _, g := range b.gateways {
		g.kill()
		b.note("%s is killed", g.name)
	}
	time.Sleep(downTime)
	for _, g := range b.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	time.Sleep(downTime)
	b.platform.Store.SetFaults(emulator.StoreFaults{})
	b.note("the store is back")
	for _, g := range b.gateways {
		if err := g.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// beginStreams starts clients for a while, each of which tries the gateways in turn.
func (b *bench) beginStreams(back time.Time) *readers {
	streams := new(readers)
	addresses := callerAddresses(b.gateways)
	for number := 0; time.Since(back) < beginTime; number++ {
		at := number % len(addresses)
		streams.start(&reader{
			bench: b, name: fmt.Sprintf("stream-%d", number), body: fmt.Sprintf("report %d", number), path: "/report/1", events: longEvents,
			addresses: append(append([]string(nil), addresses[at:]...), addresses[:at]...), tries: clientTries, patience: streamTimeout,
		})
		time.Sleep(beginInterval)
	}
	return streams
}

// resetAmongLeavers starts clients that leave early, and resets connections meanwhile.
func (b *bench) resetAmongLeavers(proxies []*proxy, back time.Time) {
	leavers := new(readers)
	addresses := callerAddresses(b.gateways)
	resets, nextReset := 0, back.Add(firstReset)
	for number := 0; time.Since(back) < leaversUntil; number++ {
		leavers.start(&reader{
			bench: b, name: fmt.Sprintf("leaver-%d", number), body: fmt.Sprintf("question %d", number), path: "/report/1", events: longEvents,
			addresses: addresses[number%len(addresses):][:1], tries: 1, patience: leaverPatience, silent: true,
		})
		time.Sleep(leaverInterval)
		if b.disturbed && time.Now().After(nextReset) && time.Since(back) < lastReset {
			nextReset = nextReset.Add(resetInterval)
			if resetOne(proxies, answering) {
				resets++
			}
		}
	}
	leavers.wait.Wait()
	b.note("%d connections were reset; %d clients left after %v", resets, len(leavers.all), leaverPatience)
}
