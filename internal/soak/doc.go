//go:build linux

// Package soak runs the built program as separate processes against an emulated store and
// emulated targets, injects random, overlapping faults from outside, and checks the requests that
// targets receive and the answers that callers receive meanwhile. It contains only tests. It runs
// only on Linux, because each process needs its own address in 127.0.0.0/8.
package soak
