//go:build linux

package procs

import (
	"bytes"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const maxLines = 20_000 // lines kept of a process's output

// process is one run of the program.
type process struct {
	cmd      *exec.Cmd
	out      *output
	done     chan struct{} // closed when the process has exited
	exitCode int           // set before done is closed; -1 if a signal killed the process
}

func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(binary, args...), out: &output{}, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		p.exitCode = p.cmd.ProcessState.ExitCode()
		close(p.done)
	}()
	return p
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Errorf("signal %s: %v", s, err)
	}
}

// kill sends SIGKILL, as a stand-in for a crash, and waits until the process has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// awaitExit waits until the process has exited and returns its exit code.
func (p *process) awaitExit(t *testing.T) int {
	t.Helper()
	select {
	case <-p.done:
		return p.exitCode
	case <-time.After(awaitTimeout):
		t.Fatalf("process did not exit; its last output:\n%s", p.out.tail(30))
		return -1
	}
}

// awaitLine waits for a line of output that matches re, and returns its submatches. It
// fails the test if the process exits first.
func (p *process) awaitLine(t *testing.T, re *regexp.Regexp) []string {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if m := re.FindStringSubmatch(p.out.tail(maxLines)); m != nil {
			return m
		}
		select {
		case <-p.done:
			t.Fatalf("process exited with code %d:\n%s", p.exitCode, p.out.tail(30))
		default:
		}
	}
	t.Fatalf("no line matches %s; last output:\n%s", re, p.out.tail(30))
	return nil
}

// output keeps the last lines that a process wrote, and the first lines of a crash. It is
// safe for concurrent use.
type output struct {
	mu         sync.Mutex
	partial    []byte
	lines      []string
	crashLines []string // first 60 lines from the start of a panic or data race, and the first line of each later one
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.partial = append(o.partial, b...)
	for {
		line, rest, ok := bytes.Cut(o.partial, []byte("\n"))
		if !ok {
			return len(b), nil
		}
		o.partial = rest
		o.add(string(line))
	}
}

func (o *output) add(line string) {
	if len(o.crashLines) > 0 && len(o.crashLines) < 60 || isCrashLine(line) {
		o.crashLines = append(o.crashLines, line)
	}
	o.lines = append(o.lines, line)
	if len(o.lines) > maxLines {
		o.lines = o.lines[len(o.lines)-maxLines:]
	}
}

func isCrashLine(line string) bool {
	return strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") ||
		strings.Contains(line, "DATA RACE") || strings.Contains(line, "http: panic serving")
}

func (o *output) tail(n int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Join(o.lines[max(0, len(o.lines)-n):], "\n")
}

// linesWithID returns the kept lines that contain an ID followed by a space.
func (o *output) linesWithID(id string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found []string
	for _, line := range o.lines {
		if strings.Contains(line, id+" ") {
			found = append(found, line)
		}
	}
	return found
}

// crashOutput returns what the process wrote about a panic or data race; "" if there was
// none.
func (o *output) crashOutput() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Join(o.crashLines, "\n")
}
