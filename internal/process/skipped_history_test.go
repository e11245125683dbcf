package process

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/replica"
	"github.com/capersaddle/capersaddle/internal/routing"
	"github.com/capersaddle/capersaddle/internal/settings"
)

// serverItem returns a server's entry as the store holds it.
func serverItem(id, version string, revision int64) replica.Item {
	const entry = `{"service":"s","address":"10.0.0.1:8388","zone":"a","version":%q,"slots":8,"state":"ready","cold_remaining_ms":0,"sequence":4,"born":1781716859000}`
	return replica.Item{Key: "servers/" + id, Value: fmt.Appendf(nil, entry, version), Revision: revision}
}

func removedItem(key string, revision int64) replica.Item {
	return replica.Item{Key: key, Gone: true, Revision: revision}
}

// TestSoleVersionAfterSkippedHistory guards against a stream that goes on at another version because the
// targets of the version that began it came and went in a part of the store's history that this gateway
// never read, while its proofs of the newest state followed each other without a gap.
func TestSoleVersionAfterSkippedHistory(t *testing.T) {
	const (
		// known is the revision at which the gateway holds "a", "old" gone, and "b".
		known   = 4
		soleFor = 10 * time.Second
	)
	listed := []replica.Item{serverItem("a", "v1", 1), serverItem("b", "v1", 4)}
	// peerWith returns an update by the page of a peer that has the same content and further changes.
	peerWith := func(change func(peer *replica.Copy)) func(own *replica.Copy) {
		return func(own *replica.Copy) {
			peer := replica.New(func(replica.Item) bool { return true }, "capersaddle/streams/")
			peer.Change([]replica.Item{listed[0], serverItem("old", "v1", 2), removedItem("servers/old", 3), listed[1]}, known)
			change(peer)
			if err := own.Absorb(peer.Page(own.Pull())); err != nil {
				t.Error(err)
			}
		}
	}
	cases := map[string]struct {
		update func(own *replica.Copy)
		sole   bool
	}{
		"changes in order":                        {func(own *replica.Copy) { own.Change([]replica.Item{serverItem("a", "v1", 7)}, 7) }, true},
		"no change":                               {func(own *replica.Copy) { own.Change(nil, known) }, true},
		"whole read, a part is missing":           {func(own *replica.Copy) { own.Replace(listed, 7) }, false},
		"whole read, one of the changes is shown": {func(own *replica.Copy) { own.Replace([]replica.Item{listed[0], serverItem("b", "v1", 7)}, 7) }, false},
		"whole read, no change":                   {func(own *replica.Copy) { own.Replace(listed, known) }, true},
		"whole read, all changes are shown": {func(own *replica.Copy) {
			own.Replace([]replica.Item{serverItem("a", "v1", 5), serverItem("b", "v1", 6)}, 6)
		}, true},
		"whole read that took a while": {func(own *replica.Copy) {
			own.Replace([]replica.Item{serverItem("a", "v1", 5), serverItem("b", "v1", 8)}, 5)
		}, false},
		"removal of an unknown target":      {func(own *replica.Copy) { own.Change([]replica.Item{removedItem("servers/c", 6)}, 6) }, false},
		"another life of a removed target":  {func(own *replica.Copy) { own.Change([]replica.Item{removedItem("servers/old", 6)}, 6) }, false},
		"removal of another unknown key":    {func(own *replica.Copy) { own.Change([]replica.Item{removedItem("capersaddle/streams/g/1", 6)}, 6) }, true},
		"page":                              {peerWith(func(peer *replica.Copy) { peer.Change([]replica.Item{serverItem("c", "v1", 7)}, 7) }), true},
		"whole page, a part is missing":     {peerWith(func(peer *replica.Copy) { peer.Replace(listed, 7) }), false},
		"whole page, all changes are shown": {peerWith(func(peer *replica.Copy) { peer.Replace([]replica.Item{listed[0], serverItem("b", "v1", 5)}, 5) }), true},
		"page, an unknown target was removed": {peerWith(func(peer *replica.Copy) {
			peer.Change([]replica.Item{serverItem("c", "v2", 5), removedItem("servers/c", 6)}, 6)
		}), false},
		"page, another life of a removed target": {peerWith(func(peer *replica.Copy) {
			peer.Change([]replica.Item{serverItem("old", "v2", 5), removedItem("servers/old", 6)}, 6)
		}), false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p, err := NewGateway(t.Context(), &settings.Gateway{ID: "g", DataCenter: "z", Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Store: "127.0.0.1:1"}, NewLogger(t.Output(), settings.Log{Format: "json"}))
				is.NoErr(err)
				defer func() { _ = p.kernel.Close() }()
				p.gateway.Apply(&routing.Config{Version: 1, Routes: []routing.Route{{Name: "r", Split: []routing.Share{{Service: "s", Weight: 1}}, Kind: routing.Stream, Timeout: time.Second}}})
				proveFor := func(span time.Duration) {
					for range span / time.Second {
						time.Sleep(time.Second)
						p.gateway.Proof.Note(clock.Now())
					}
				}
				p.feed.Replace([]replica.Item{listed[0], serverItem("old", "v1", 2)}, 2)
				p.feed.Change([]replica.Item{removedItem("servers/old", 3)}, 3)
				p.feed.Change([]replica.Item{listed[1]}, known)
				p.gateway.Proof.Note(clock.Now())
				proveFor(2 * soleFor)
				_, sole := p.gateway.SoleOrigin("s")
				is.True(sole) // before
				tc.update(p.feed.Copy)
				p.gateway.Proof.Note(clock.Now())
				_, sole = p.gateway.SoleOrigin("s")
				is.Equal(sole, tc.sole)
				proveFor(soleFor)
				_, sole = p.gateway.SoleOrigin("s")
				is.True(sole) // long after
			})
		})
	}
}
