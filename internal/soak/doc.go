//go:build linux

// Package soak runs the built program as separate processes against stand-ins of the
// store and of targets, puts faults on them from outside, at random and overlapping,
// and checks what callers and targets see while it runs. It holds tests alone. Linux
// only: each process has an address of its own in 127.0.0.0/8.
package soak
