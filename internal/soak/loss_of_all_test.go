package soak

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

const (
	// minContinuedAfterLoss is the share of the resumed streams that must go on after all gateways were
	// lost at once.
	minContinuedAfterLoss = 0.7
	// lossStreamGap is the pause between the events of a stream, so that it takes some time.
	lossStreamGap = 50 * time.Millisecond
	// lossDownTime is how long the gateways are away, and lossInterval the time between two losses.
	lossDownTime = 600 * time.Millisecond
	lossInterval = 4 * time.Second
)

// TestStreamsAfterLossOfAllGateways guards against streams that no gateway continues, and against streams
// with events of two versions, after all gateways were killed at the same moment: the records of which
// version began which stream were lost with them.
func TestStreamsAfterLossOfAllGateways(t *testing.T) {
	binary := buildBinary(t)
	cases := map[string]struct {
		gateways, versions, perSecond, losses int
		disturb                               func(s *soak)
	}{
		"four":                           {4, 3, 60, 2, nil},
		"four, many streams":             {4, 3, 200, 2, nil},
		"eleven":                         {11, 3, 120, 2, nil},
		"one":                            {1, 3, 40, 2, nil},
		"old servers have just left":     {4, 2, 60, 1, (*soak).removeOldServers},
		"a version comes and goes":       {4, 2, 60, 2, (*soak).addAndRemoveServers},
		"slow store":                     {4, 3, 60, 2, func(s *soak) { s.platform.Store.SetFaults(emulator.StoreFaults{Delay: 100 * time.Millisecond}) }},
		"watches from compacted history": {4, 3, 60, 2, func(s *soak) { s.platform.Store.Compact() }},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &soak{t: t, binary: binary, seed: 1, grace: stopGrace, streamGap: lossStreamGap}
			s.startVersionedSystem(test.gateways, test.versions)
			defer s.stopSystem()
			_, stop := s.startStreamCallers(time.Second / time.Duration(test.perSecond))
			time.Sleep(seriesWarmUp)
			for range test.losses {
				if test.disturb != nil {
					test.disturb(s)
				}
				s.loseAll()
				time.Sleep(lossInterval)
			}
			counts := stop()
			t.Logf("%.3f of the resumed streams went on: %+v", float64(counts.Continued)/float64(max(counts.Resumed, 1)), counts)
			is.True(counts.Resumed > 0)
			is.Equal(counts.Mixed, 0)
			is.Equal(counts.Disordered, 0)
			is.True(float64(counts.Continued) >= minContinuedAfterLoss*float64(counts.Resumed))
		})
	}
}

// loseAll kills all gateways at the same moment and starts them again.
func (s *soak) loseAll() {
	s.killGateways(s.gateways...)
	time.Sleep(lossDownTime)
	for _, g := range s.gateways {
		s.restart(g)
	}
	for _, g := range s.gateways {
		s.awaitServing(g)
	}
}

// removeOldServers removes all servers of the first version. They go on serving for a while, as the
// platform's servers do.
func (s *soak) removeOldServers() {
	for i := range serversOfVersion {
		s.platform.Store.Remove("servers/" + serverID("v0", i))
	}
	time.Sleep(300 * time.Millisecond)
}

// addAndRemoveServers adds servers of another version and removes them a second later, without breaking a
// stream off.
func (s *soak) addAndRemoveServers() {
	s.passing++
	version := "passing" + strconv.Itoa(s.passing)
	var added []*emulator.Server
	for i := range serversOfVersion {
		added = append(added, s.addVersionedServer(version, i))
	}
	time.Sleep(time.Second)
	for _, server := range added {
		s.platform.Leave(server)
	}
	time.Sleep((seriesEvents + 4) * lossStreamGap) // until its streams have ended: no other version may continue them
	for _, server := range added {
		_ = server.Close()
	}
}

// serverID returns the ID of a server of a version.
func serverID(version string, number int) string {
	return fmt.Sprintf("e-%s-%d", version, number)
}
