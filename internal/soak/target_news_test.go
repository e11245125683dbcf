package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/peer"
)

const (
	// maxNewsDelay is how long after the first gateway the last one may learn of a target.
	maxNewsDelay = 500 * time.Millisecond
	// minNewsContinued is the least share of the resumed streams that must go on.
	minNewsContinued = 0.99
	// newsStreamGap makes streams so short that the servers of one version can take all.
	newsStreamGap = 15 * time.Millisecond
	// newsLoseEvery makes callers lose the connection of every so many-th stream, and resume it at another
	// gateway; all gateways get such streams.
	newsLoseEvery = 3
	// newsStreams is the number of streams that begin in a second, and newsWarmUp how long they do so before
	// the first change: then gateways hold back records of streams, since there is one version only.
	newsStreams = 150
	newsWarmUp  = 26 * time.Second
	// hangTime is how long the calls of one gateway to the store hang, and joinAfter the time until servers
	// join meanwhile.
	hangTime  = 2500 * time.Millisecond
	joinAfter = 300 * time.Millisecond
	// newsTime is how long the gateways go on after that.
	newsTime = time.Second
)

// TestTargetsReachAllGateways guards against gateways that learn of new targets seconds after others:
// records of streams, which are sent once a second version is known, used up the bytes of the heartbeats
// that tell of a change, so that gateways which others read the store for refused streams of that version.
func TestTargetsReachAllGateways(t *testing.T) {
	binary := buildBinary(t)
	cases := map[string]struct {
		gateways int
		// hung is the place, in the order of asking the store, of the gateway whose calls hang.
		hung int
	}{
		"four, the first hangs":          {4, 0},
		"four, the second hangs":         {4, 1},
		"four, the last hangs":           {4, 3},
		"eleven, the first hangs":        {11, 0},
		"eleven, the second hangs":       {11, 1},
		"eleven, one that follows hangs": {11, 2},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &soak{t: t, binary: binary, seed: 1, grace: stopGrace, streamGap: newsStreamGap, loseEvery: newsLoseEvery}
			s.startVersionedSystem(test.gateways, 1)
			defer s.stopSystem()
			_, stop := s.startStreamCallers(time.Second / newsStreams)
			time.Sleep(newsWarmUp)
			hung := s.inAskOrder()[test.hung]
			hung.store.set(silenced)
			time.AfterFunc(hangTime, func() { hung.store.set(normal) })
			time.Sleep(joinAfter)
			for i := range serversOfVersion {
				s.addVersionedServer("v1", i)
			}
			time.Sleep(hangTime - joinAfter + newsTime)
			counts := stop()
			worst := time.Duration(0)
			for i := range serversOfVersion {
				known := s.targetKnownAt(serverID("v1", i))
				is.Equal(len(known), test.gateways) // gateways that know the target
				worst = max(worst, slices.MaxFunc(known, time.Time.Compare).Sub(slices.MinFunc(known, time.Time.Compare)))
			}
			t.Logf("the last gateway learnt of a target %v after the first; %+v", worst.Round(time.Millisecond), counts)
			is.True(worst <= maxNewsDelay)
			is.Equal(counts.Mixed, 0)
			is.True(counts.Resumed > 0)
			is.True(float64(counts.Continued) >= minNewsContinued*float64(counts.Resumed))
		})
	}
}

// inAskOrder returns the gateways in the order of asking the store.
func (s *soak) inAskOrder() []*gateway {
	ordered := slices.Clone(s.gateways)
	slices.SortFunc(ordered, func(a, b *gateway) int { return cmp.Compare(peer.StoreOrder(a.id), peer.StoreOrder(b.id)) })
	return ordered
}

// targetKnownAt returns when each gateway learnt of a target, for those that did, by their logs.
func (s *soak) targetKnownAt(id string) []time.Time {
	s.t.Helper()
	var known []time.Time
	for _, g := range s.gateways {
		data, err := os.ReadFile(g.logFile)
		if err != nil {
			s.t.Fatal(err)
		}
		for line := range strings.Lines(string(data)) {
			var entry struct {
				At      time.Time `json:"time"`
				Message string    `json:"msg"`
				Target  string    `json:"target"`
			}
			if !strings.Contains(line, fmt.Sprintf("%q", id)) || json.Unmarshal([]byte(line), &entry) != nil {
				continue
			}
			if entry.Message == "target_changed" && entry.Target == id {
				known = append(known, entry.At)
				break
			}
		}
	}
	return known
}
