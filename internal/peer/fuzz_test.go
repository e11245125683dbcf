package peer

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/wire"
)

// FuzzBeat checks that no datagram crashes the process.
func FuzzBeat(f *testing.F) {
	data, err := proto.Marshal(&wire.GatewayBeat{Id: "a", Life: 1, Sequence: 2, Echo: 1, HasProof: true, Known: []string{"x"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		heartbeat := new(wire.GatewayBeat)
		if proto.Unmarshal(data, heartbeat) != nil {
			return
		}
		service := newTestService()
		service.pulling = true // there are no links in this test
		service.handleHeartbeat(heartbeat, time.Unix(1000, 0))
	})
}
