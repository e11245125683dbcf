package gateway_test

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/origin"
)

// TestStreamOfVersionThatServesOn guards against a stream that goes on at another version because its own
// version's last target left unannounced: its entry had disappeared for longer than callers take to resume a
// stream, while the target still served what had begun there.
func TestStreamOfVersionThatServesOn(t *testing.T) {
	// The values are the times from the disappearance of the entry to the request that resumes the stream.
	cases := map[string]time.Duration{
		"at once":               time.Second,
		"within the time limit": 8 * time.Second,
		"the target served on":  13 * time.Second,
		"it served for longer":  25 * time.Second,
	}
	for name, after := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sender := &firstSender{first: stream(two, io.EOF), others: stream(two, io.EOF)}
				w := versionGateway(sender, "v1", "v2")
				// Another gateway has the record of the stream.
				peers := &fakeOriginPeers{version: "v1"}
				w.gateway.Origins = &gateway.Origins{Table: origin.NewTable(), Peers: peers}
				began := time.Now()
				time.Sleep(time.Hour)
				w.gateway.Balancer.Drop("v1-0", time.Now())
				time.Sleep(after)
				prove(w.gateway.Proof, began, time.Now())
				w.resume(t, "/resumable/x", "r1", "1")
				is.Equal(len(sender.sent), 0) // nothing was sent to the other version
			})
		})
	}
}
