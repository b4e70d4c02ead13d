//go:build !race

package demo

// scale divides the number of callers in a test.
const scale = 1
