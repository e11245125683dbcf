package process_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

const (
	// unusedAddress is an address at which no gateway listens.
	unusedAddress = peerHost + ":1"
	// slowFatalInterval is the time between two sends of a fatal request, long enough for
	// gateways to learn of a crash before the next send.
	slowFatalInterval = 1500 * time.Millisecond
	// partitionTime is how long callers continue after the gateways must have learned of the
	// third crash: each of four gateways that counted only its own crashes would get the request
	// twice more.
	partitionTime = 11 * time.Second
)

// TestFatalRequestsWithPartitionedGateways checks that gateways that reach the store, the targets
// and their callers, but no other gateways or only some, still hold back a request after its
// third crash. When each gateway counted only the crashes that it saw itself, four partitioned
// ones let a request crash twelve targets.
func TestFatalRequestsWithPartitionedGateways(t *testing.T) {
	cases := map[string]struct {
		partitions, gatewaysEach int
		// maxCrashes limits the crashes of targets.
		maxCrashes int
	}{
		"four partitions of one":  {4, 1, 3},
		"two partitions of three": {2, 3, 3},
		"three partitions of two": {3, 2, 3},
		"two partitions of six":   {2, 6, 3},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startFatalTargets(t, emulator.Fatal{Body: fatalBody, After: 10 * time.Millisecond, Back: restartDelay}, false)
			f.startPartitions(t, test.partitions, test.gatewaysEach)
			c := f.startFatalCallersAt(t, slowFatalInterval, "/pay/1", 1)
			f.awaitStopped(t, "plain", partitionTime)
			c.stop()
			f.checkStopped(t, c, "plain", 1)
			is.True(len(f.platform.Crashes("plain")) <= test.maxCrashes)
		})
	}
}

// startPartitions starts gateways of which only those in the same partition reach each other.
// Callers use the partitions in turn.
func (f *fleet) startPartitions(t *testing.T, partitions, gatewaysEach int) {
	t.Helper()
	f.platform.Store.RefuseWrites(emulator.SeedsPrefix)
	seeds := make([][]string, partitions)
	for number := range partitions * gatewaysEach {
		partition := number % partitions
		started := f.startGateway(t, gatewayName(number), append([]string{unusedAddress}, seeds[partition]...))
		f.gateways = append(f.gateways, started)
		seeds[partition] = append(seeds[partition], started.Addresses().Link)
	}
	f.awaitReady(t)
}
