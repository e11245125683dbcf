package process_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

const (
	// nobodysAddress is one at which no gateway listens.
	nobodysAddress = testsOwn + ":1"
	// slowFatal is the time between two sendings of a fatal request that does not come
	// again and again before anybody could have learnt of its ends.
	slowFatal = 1500 * time.Millisecond
	// cutFor is how long they go on after the gateways must have learnt of the third end: each
	// of four that counts its own would be met twice more.
	cutFor = 11 * time.Second
)

// TestFatalRequestsAtGatewaysCutOffFromEachOther: gateways that reach the store, the targets
// and their callers, and hear no other gateway, or only some, stop a request after the third
// end all the same. Each had counted its own: four that heard no other one had twelve targets
// ended.
func TestFatalRequestsAtGatewaysCutOffFromEachOther(t *testing.T) {
	cases := map[string]struct {
		parts, each int
		// most is how many targets may end.
		most int
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
			f := fatalTargetsOnly(t, emulator.Fatal{Body: fatalBody, After: 10 * time.Millisecond, Back: lifeless}, false)
			f.startParts(t, test.parts, test.each)
			c := f.startFatalCallersEvery(t, slowFatal, "/pay/1", 1)
			f.awaitStopped(t, "plain", cutFor)
			c.stop()
			f.checkStopped(t, c, "plain", 1)
			is.True(len(f.platform.Crashes("plain")) <= test.most)
		})
	}
}

// startParts starts gateways of which only those of the same part hear each other. Callers
// meet the parts in turn.
func (f *fleet) startParts(t *testing.T, parts, each int) {
	t.Helper()
	seeds := make([][]string, parts)
	for number := range parts * each {
		part := number % parts
		made := f.gateway(t, gatewayName(number), append([]string{nobodysAddress}, seeds[part]...))
		f.gateways = append(f.gateways, made)
		seeds[part] = append(seeds[part], made.Addresses().Link)
	}
	f.awaitReady(t)
}
