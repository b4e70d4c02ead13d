//go:build !race

package demo

const scale = 1
