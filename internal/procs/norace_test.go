//go:build linux && !race

package procs

var buildFlags []string
