//go:build linux

// Package procs runs the built program as real processes over loopback, puts
// faults on the links between them, and holds them against the ground truth of
// the target stand-ins. It holds tests alone. Linux only: each instance has an
// address of its own in 127.0.0.0/8, by which the links tell who sends.
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

// parallelScenarios is how many run at one time: they mostly wait.
const parallelScenarios = 6

// binary is the built program.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	if err := raiseFlag("test.parallel", parallelScenarios); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(run(m))
}

func raiseFlag(name string, n int) error {
	current, err := strconv.Atoi(flag.Lookup(name).Value.String())
	if err != nil || current >= n {
		return err
	}
	return flag.Set(name, strconv.Itoa(n))
}

// run builds the program, runs the tests, and removes what it built.
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

// soakDuration is how long the long variants last; zero in a usual run.
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
