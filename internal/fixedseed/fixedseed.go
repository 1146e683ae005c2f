// Package fixedseed runs the tests of a package with a fixed seed for generated inputs, so
// that the same sources always give the same result.
//
// It sets the flag -rapid.seed before the command line is parsed, so a value on the command
// line still overrides it. It owns no state; only TestMain functions use it.
package fixedseed

import (
	"flag"
	"testing"

	_ "pgregory.net/rapid" // defines the flag
)

// seed is the value of -rapid.seed.
const seed = "1"

// Run runs a package's tests and returns their exit code.
func Run(m *testing.M) int {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	return m.Run()
}
