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

const keepLines = 20_000 // of a process's output

// process is one run of the program.
type process struct {
	cmd  *exec.Cmd
	out  *output
	done chan struct{} // closed when it has ended
	code int           // set before done is closed; -1 if a signal ended it
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
		p.code = p.cmd.ProcessState.ExitCode()
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

// kill ends the process as a crash would, and waits until it's gone.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// exit waits for the end and returns the exit code.
func (p *process) exit(t *testing.T) int {
	t.Helper()
	select {
	case <-p.done:
		return p.code
	case <-time.After(patience):
		t.Fatalf("process did not end; it wrote:\n%s", p.out.tail(30))
		return -1
	}
}

// await returns the submatches of the first line that matches.
func (p *process) await(t *testing.T, re *regexp.Regexp) []string {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if m := re.FindStringSubmatch(p.out.tail(keepLines)); m != nil {
			return m
		}
		select {
		case <-p.done:
			t.Fatalf("process ended with %d:\n%s", p.code, p.out.tail(30))
		default:
		}
	}
	t.Fatalf("no line like %s in:\n%s", re, p.out.tail(30))
	return nil
}

// output keeps the last lines that a process wrote, and the first of a crash.
type output struct {
	mu    sync.Mutex
	part  []byte
	lines []string
	bad   []string // from the first line of a panic or a race on
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.part = append(o.part, b...)
	for {
		line, rest, ok := bytes.Cut(o.part, []byte("\n"))
		if !ok {
			return len(b), nil
		}
		o.part = rest
		o.add(string(line))
	}
}

func (o *output) add(line string) {
	if len(o.bad) > 0 && len(o.bad) < 60 || crashed(line) {
		o.bad = append(o.bad, line)
	}
	o.lines = append(o.lines, line)
	if len(o.lines) > keepLines {
		o.lines = o.lines[len(o.lines)-keepLines:]
	}
}

func crashed(line string) bool {
	return strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") ||
		strings.Contains(line, "DATA RACE") || strings.Contains(line, "http: panic serving")
}

func (o *output) tail(n int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Join(o.lines[max(0, len(o.lines)-n):], "\n")
}

// about returns the lines that name an id.
func (o *output) about(id string) []string {
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

// crash is what the process wrote of a panic or a race.
func (o *output) crash() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Join(o.bad, "\n")
}
