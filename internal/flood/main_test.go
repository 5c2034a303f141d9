//go:build linux

package flood

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// enabled is the environment variable that enables the tests of this package.
const enabled = "FIRLEVER_FLOOD"

// binary is the path of the built program.
var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the program, runs the tests, and removes the build directory. The program is built without the
// race detector, which multiplies its memory.
func run(m *testing.M) int {
	if os.Getenv(enabled) == "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "firlever-flood")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "firlever")
	build := exec.Command("go", "build", "-o", binary, "github.com/firlever/firlever/cmd/firlever")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// requireMachine skips the test unless it may have the machine for itself.
func requireMachine(t *testing.T) {
	t.Helper()
	if os.Getenv(enabled) == "" {
		t.Skip(enabled + " is not set")
	}
}
