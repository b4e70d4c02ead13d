//go:build !race

package demo

// callerDivisor divides the number of callers in a test.
const callerDivisor = 1
