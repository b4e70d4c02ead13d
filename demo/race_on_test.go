//go:build race

package demo

// callerDivisor divides the number of callers in a test. The race detector slows a
// whole site in one process down about tenfold, so tests run a third of the
// callers.
const callerDivisor = 3
