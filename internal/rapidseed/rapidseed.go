// Package rapidseed fixes the seed of property tests, so that they draw the same values in each
// run and a result depends on the code and not on the values drawn. The flag -rapid.seed
// selects another seed.
package rapidseed

import (
	"flag"
	"os"
	"testing"
)

// seed is an arbitrary number.
const seed = "20261202"

// Main runs a package's tests with the fixed seed; it is called from TestMain.
func Main(m *testing.M) {
	Fix()
	os.Exit(m.Run())
}

// Fix sets the seed unless the flag is given. A TestMain with other work calls it instead of
// Main.
func Fix() {
	flag.Parse()
	given := flag.Lookup("rapid.seed")
	if given == nil || given.Value.String() != "0" {
		return
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err) // only if rapid no longer accepts a number
	}
}
