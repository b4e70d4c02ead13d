package experiment

import (
	"os"
	"strconv"
	"testing"
)

// seedsVariable is the environment variable with the number of seeds that long tests play.
const seedsVariable = "POMELOWAY_SEEDS"

// hasSeeds reports whether the number of seeds is set.
func hasSeeds() bool { return os.Getenv(seedsVariable) != "" }

// seedCount returns how many seeds the tests of whole sites play, 3 by default.
func seedCount(t *testing.T) uint64 {
	t.Helper()
	if !hasSeeds() {
		return 3
	}
	n, err := strconv.ParseUint(os.Getenv(seedsVariable), 10, 16)
	if err != nil || n == 0 {
		t.Fatalf("%s: %q is not a number above 0", seedsVariable, os.Getenv(seedsVariable))
	}
	return n
}

// longSeedCount is seedCount for tests that play many cases, with 1 seed by default.
func longSeedCount(t *testing.T) uint64 {
	t.Helper()
	if !hasSeeds() {
		return 1
	}
	return seedCount(t)
}
