package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/freshness"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/origin"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// sentRecords is a socket that records when each stream's record is sent to each gateway. It loses each
// loseEvery-th datagram.
type sentRecords struct {
	packetConn
	loseEvery int
	datagrams int

	mu    sync.Mutex
	at    map[netip.AddrPort]map[origin.Stream]time.Time
	bytes int
}

func (c *sentRecords) WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	heartbeat := new(wire.GatewayBeat)
	if err := proto.Unmarshal(data, heartbeat); err != nil {
		return 0, err
	}
	c.bytes += len(data)
	c.datagrams++
	if c.loseEvery > 0 && c.datagrams%c.loseEvery == 0 {
		return len(data), nil
	}
	if c.at[to] == nil {
		c.at[to] = make(map[origin.Stream]time.Time)
	}
	for _, record := range heartbeat.GetStreamOrigins() {
		if _, sent := c.at[to][origin.Stream(record.GetStream())]; !sent {
			c.at[to][origin.Stream(record.GetStream())] = time.Now()
		}
	}
	return len(data), nil
}

// copies returns how many gateways were sent the record of a stream that began at a given time, and how many
// of them later than allowed.
func (c *sentRecords) copies(stream origin.Stream, begun time.Time, maxDelay time.Duration) (copies, late int) {
	for _, records := range c.at {
		sentAt, ok := records[stream]
		if !ok {
			continue
		}
		copies++
		if sentAt.Sub(begun) > maxDelay {
			late++
		}
	}
	return copies, late
}

// TestOriginsOfNewStreamsAreSentSoon guards against streams that can't be resumed when their gateway is
// killed a moment after they began: their records waited for the next round, and behind those that are
// handed over to gateways that have just begun.
func TestOriginsOfNewStreamsAreSentSoon(t *testing.T) {
	const (
		budget = 7000
		length = 5 * time.Second
	)
	cases := map[string]struct {
		peers, perSecond, handedOver int
		maxDelay                     time.Duration
		loseEvery                    int
	}{
		"few streams":                                {3, 10, 0, 20 * time.Millisecond, 0},
		"few streams, records to be sent":            {3, 10, 3000, 20 * time.Millisecond, 0},
		"many streams, records to be sent":           {3, 50, 3000, tick, 0},
		"more gateways":                              {7, 25, 3000, tick, 0},
		"many gateways":                              {27, 7, 600, 20 * time.Millisecond, 0},
		"few streams, one datagram in ten is lost":   {3, 10, 3000, 20 * time.Millisecond, 10},
		"more gateways, one datagram in ten is lost": {7, 25, 3000, tick, 10},
		"many gateways, one datagram in ten is lost": {27, 7, 600, 20 * time.Millisecond, 10},
		"very many, one datagram in ten is lost":     {102, 2, 600, 20 * time.Millisecond, 10},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := origin.NewTable()
				service := New(Options{
					ID: "g", Address: testLoopback + ":1", Budget: budget, Replica: &fakeReplica{reachable: true}, Proof: new(freshness.Proof),
					Balancer: balance.New(balance.DefaultOptions()), Watcher: new(countingWatcher), OnCensus: func(Census) {},
					Origins: OriginOptions{Table: table, Sole: func(string) (origin.Version, bool) { return 0, false }, SoleAfter: func(string) time.Duration { return testSoleAfter }},
				}, new(net.UDPConn), link.NewMemory().From("g"))
				sent := &sentRecords{loseEvery: tc.loseEvery, at: make(map[netip.AddrPort]map[origin.Stream]time.Time)}
				service.conn = sent
				record := func(number int) origin.Record {
					return origin.Record{Stream: origin.Stream(number), Version: streamVersion, Expires: time.Now().Add(time.Minute)}
				}
				for number := range tc.handedOver {
					table.Put(record(1_000_000+number), time.Now())
				}
				ctx, cancel := context.WithCancel(t.Context())
				var wait sync.WaitGroup
				wait.Go(func() { service.run(ctx) })
				beat := func(sequence uint64) {
					for i := range tc.peers {
						service.handleHeartbeat(&wire.GatewayBeat{Life: uint64(i + 1), Id: fmt.Sprint("peer-", i), Address: fmt.Sprintf("%s:%d", testLoopback, i+2), Sequence: sequence}, time.Now())
					}
				}
				beat(1)
				time.Sleep(time.Second) // the first rounds
				begun := make(map[origin.Stream]time.Time)
				interval := time.Second / time.Duration(tc.perSecond)
				for number := 1; time.Duration(number)*interval < length; number++ {
					beat(uint64(number + 1))
					begun[origin.Stream(number)] = time.Now()
					table.Put(record(number), time.Now())
					service.SpreadOrigin(record(number), testService)
					time.Sleep(interval)
				}
				time.Sleep(time.Second)
				cancel()
				wait.Wait()
				late, known := 0, 0
				for stream, at := range begun {
					copies, lateCopies := sent.copies(stream, at, tc.maxDelay)
					late += lateCopies
					if copies > lateCopies {
						known++
					}
					is.True(copies >= min(tc.peers, originKeepers-1) || tc.loseEvery > 0)
				}
				t.Logf("%d streams, %d known elsewhere in time, %d records late, %d bytes a second", len(begun), known, late, sent.bytes/int((length+2*time.Second)/time.Second))
				is.True(late == 0 || tc.loseEvery > 0)
				is.True(100*known >= 95*len(begun))
				is.True(sent.bytes <= budget*int((length+3*time.Second)/time.Second))
			})
		})
	}
}
