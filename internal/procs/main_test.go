//go:build linux

// Package procs runs the built program as real processes over loopback, injects
// faults into the links between them, and checks them against the journal of the
// emulated targets. It contains only tests. Linux only: each instance has its own
// address in 127.0.0.0/8, by which the links identify the sender.
package procs

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"
)

// parallelScenarios is how many scenarios run in parallel at least. They spend most of
// their time waiting.
const parallelScenarios = 6

// binary is the path of the built program.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	if err := raiseFlag("test.parallel", parallelScenarios); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(run(m))
}

// raiseFlag sets an integer flag to n if it is lower.
func raiseFlag(name string, n int) error {
	current, err := strconv.Atoi(flag.Lookup(name).Value.String())
	if err != nil || current >= n {
		return err
	}
	return flag.Set(name, strconv.Itoa(n))
}

// run builds the program, runs the tests and removes the build. It returns the exit code.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "firlever-procs")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "firlever")
	args := append([]string{"build"}, buildFlags...)
	build := exec.Command("go", append(args, "-o", binary, "github.com/firlever/firlever/cmd/firlever")...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	go processPauses.record()
	return m.Run()
}

// soakDuration returns the duration of soak runs from FIRLEVER_SOAK; zero if it is unset.
func soakDuration(t *testing.T) time.Duration {
	t.Helper()
	text := os.Getenv("FIRLEVER_SOAK")
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatalf("FIRLEVER_SOAK: %v", err)
	}
	return d
}
