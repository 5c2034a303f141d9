//go:build linux

package flood

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/firlever/firlever/internal/emulator/store"
)

const (
	memoryMB     = 96  // of the machine of the process
	descriptors  = 500 // of the process, in the tests that limit them
	startTimeout = 20 * time.Second
	// answerTimeout is how long an ordinary request may be tried after a flood.
	answerTimeout = 20 * time.Second
	logTail       = 64 << 10 // bytes
	firstPort     = 7101     // of each process
)

// process is a running instance.
type process struct {
	t        *testing.T
	cmd      *exec.Cmd
	out      tail
	done     chan struct{} // closed when it has exited
	ip       string
	store    *store.Store      // stand-in of the store; nil for serve
	ports    map[string]string // address by name of the port
	ordinary map[string]string // URLs of ordinary requests that are answered with 200, by name of the port
}

// tail keeps the end of what a process writes. It is safe for concurrent use.
type tail struct {
	mu   sync.Mutex
	text []byte // guarded by mu
}

func (o *tail) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.text = append(o.text, b...)
	o.text = o.text[max(0, len(o.text)-logTail):]
	return len(b), nil
}

// last returns the last n lines.
func (o *tail) last(n int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	lines := strings.Split(string(o.text), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// start starts the program and waits until its ordinary requests are answered.
func (p *process) start(env []string, args ...string) {
	p.t.Helper()
	p.cmd = exec.Command(binary, args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = &p.out, &p.out
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.done = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	p.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
	})
	p.requireAnswers(startTimeout)
}

// alive reports whether the process runs.
func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// limitDescriptors sets the number of descriptors that the process may have.
func (p *process) limitDescriptors(n uint64) {
	p.t.Helper()
	limit := unix.Rlimit{Cur: n, Max: n}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		p.t.Fatal(err)
	}
}

// peakMB returns the largest resident size that the process has had.
func (p *process) peakMB() int {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatalf("the process has ended: %v\n%s", err, p.out.last(20))
	}
	lines := bufio.NewScanner(bytes.NewReader(status))
	for lines.Scan() {
		var kb int
		if n, _ := fmt.Sscanf(lines.Text(), "VmHWM: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	p.t.Fatalf("no peak in the status of the process:\n%s", status)
	return 0
}

// openDescriptors returns how many descriptors the process has open.
func (p *process) openDescriptors() int {
	p.t.Helper()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatalf("the process has ended: %v\n%s", err, p.out.last(20))
	}
	return len(list)
}

// requireWithinMachine fails the test if the process has ended or has had more memory than its machine.
func (p *process) requireWithinMachine() {
	p.t.Helper()
	if !p.alive() {
		p.t.Fatalf("got a process that has ended, want one that serves:\n%s", p.out.last(20))
	}
	got := p.peakMB()
	p.t.Logf("peak %d MB, %d descriptors", got, p.openDescriptors())
	if got > memoryMB {
		p.t.Errorf("got a peak of %d MB, want %d at most", got, memoryMB)
	}
}

// requireAnswers fails the test unless an ordinary request to each port is answered with 200 in time.
func (p *process) requireAnswers(within time.Duration) {
	p.t.Helper()
	for port, url := range p.ordinary {
		if err := p.awaitAnswer(url, time.Now().Add(within)); err != nil {
			p.t.Fatalf("%s: no answer to an ordinary request within %s: %v\n%s", port, within, err, p.out.last(20))
		}
	}
}

// awaitAnswer sends a request again, each time on a new connection, until it is answered with 200.
func (p *process) awaitAnswer(url string, end time.Time) error {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := client.Do(ordinaryRequest(p.t, url))
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("status %d", resp.StatusCode)
		}
		if time.Now().After(end) || !p.alive() {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// ordinaryRequest returns a request as ordinary callers send it.
func ordinaryRequest(t *testing.T, url string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Request-Id", "ordinary")
	return r
}

// processes counts the processes that were started.
var processes atomic.Int32

// newProcess returns a process that is not started yet, with ports at an address of its own: what floods have
// used may still be taken.
func newProcess(t *testing.T, ports ...string) *process {
	p := &process{t: t, ports: make(map[string]string), ordinary: make(map[string]string)}
	pid := os.Getpid()
	p.ip = fmt.Sprintf("127.%d.%d.%d", 100+(pid>>8)%100, pid%256, processes.Add(1))
	for k, name := range ports {
		p.ports[name] = fmt.Sprintf("%s:%d", p.ip, firstPort+k)
	}
	return p
}
