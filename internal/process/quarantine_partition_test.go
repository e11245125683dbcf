package process_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

const (
	// unusedAddress is one at which no gateway listens.
	unusedAddress = peerHost + ":1"
	// slowFatalInterval is the time between two sendings of a fatal request that does not come
	// again and again before anybody could have learnt of its ends.
	slowFatalInterval = 1500 * time.Millisecond
	// partitionTime is how long they go on after the gateways must have learnt of the third end: each
	// of four that counts its own would be met twice more.
	partitionTime = 11 * time.Second
)

// TestFatalRequestsWithPartitionedGateways: gateways that reach the store, the targets
// and their callers, and hear no other gateway, or only some, stop a request after the third
// end all the same. Each had counted its own: four that heard no other one had twelve targets
// ended.
func TestFatalRequestsWithPartitionedGateways(t *testing.T) {
	cases := map[string]struct {
		partitions, gatewaysEach int
		// most is how many targets may end.
		maxCrashes int
	}{
		"none hears another one": {4, 1, 3},
		"two halves":             {2, 3, 3},
		"three parts":            {3, 2, 3},
		"two large halves":       {2, 6, 3},
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

// startPartitions starts gateways of which only those of the same part hear each other. Callers
// meet the parts in turn.
func (f *fleet) startPartitions(t *testing.T, partitions, gatewaysEach int) {
	t.Helper()
	seeds := make([][]string, partitions)
	for number := range partitions * gatewaysEach {
		partition := number % partitions
		started := f.startGateway(t, gatewayName(number), append([]string{unusedAddress}, seeds[partition]...))
		f.gateways = append(f.gateways, started)
		seeds[partition] = append(seeds[partition], started.Addresses().Link)
	}
	f.awaitReady(t)
}
