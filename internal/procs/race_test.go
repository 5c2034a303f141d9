//go:build linux && race

package procs

// buildFlags builds the processes with the race detector if the tests use it.
var buildFlags = []string{"-race"}
