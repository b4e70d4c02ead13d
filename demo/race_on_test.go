//go:build race

package demo

// The race detector slows a whole site in one process about tenfold, so a
// scenario has a third of the callers under it.
const scale = 3
