// Package fixedseed runs the tests of a package with a fixed seed for generated inputs, so
// that the same sources always give the same result.
//
// The generated inputs are those of the property tests of package rapid. Run sets rapid's flag
// -rapid.seed before the command line is parsed, so a value on the command line still
// overrides it. The package owns no state; only TestMain functions use it.
package fixedseed

import (
	"flag"
	"testing"

	_ "pgregory.net/rapid" // defines the flag
)

// seed is the value of -rapid.seed unless the command line sets another one.
const seed = "1"

// Run sets the flag -rapid.seed to seed, runs the package's tests and returns their exit code,
// which the caller passes to os.Exit. It panics if the flag cannot be set.
func Run(m *testing.M) int {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	return m.Run()
}
