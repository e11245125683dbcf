// Package rapidseed has property tests draw the same in each run of a package's tests, so that a
// change is judged by what it does and not by what was drawn. With -rapid.seed on the command
// line they draw others.
package rapidseed

import (
	"flag"
	"os"
	"testing"
)

// seed is any number.
const seed = "20261202"

// Main runs a package's tests; its TestMain calls it.
func Main(m *testing.M) {
	Fix()
	os.Exit(m.Run())
}

// Fix sets the seed, unless one is given, for a TestMain that does more.
func Fix() {
	flag.Parse()
	given := flag.Lookup("rapid.seed")
	if given == nil || given.Value.String() != "0" {
		return
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err) // only if rapid takes no numbers any more
	}
}
