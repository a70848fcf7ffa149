// Package rapidtest runs property tests that use pgregory.net/rapid with a fixed
// seed, so each run has the same cases and the same result. Flags on the command line
// take precedence: a long run sets its own seed and number of checks.
package rapidtest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

const (
	seedFlag    = "rapid.seed"
	checksFlag  = "rapid.checks"
	defaultSeed = "1"
)

// Main runs a package's tests with a fixed seed and, if checks is greater than 0,
// with that number of cases for each property, and exits with their result. Call
// it from TestMain.
func Main(m *testing.M, checks int) {
	flag.Parse()
	isSet := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { isSet[f.Name] = true })
	if !isSet[seedFlag] {
		setFlag(seedFlag, defaultSeed)
	}
	if checks > 0 && !isSet[checksFlag] {
		setFlag(checksFlag, strconv.Itoa(checks))
	}
	os.Exit(m.Run())
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
