//go:build linux && race

package procs

// buildFlags make the processes find races when the tests do.
var buildFlags = []string{"-race"}
