//go:build linux

package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binaryPath is the path of the built program.
var binaryPath string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the program, runs the tests, and removes the build directory.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "firlever-soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaryPath = filepath.Join(dir, "firlever")
	build := exec.Command("go", "build", "-tags", "soak", "-o", binaryPath, "github.com/firlever/firlever/cmd/firlever")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
