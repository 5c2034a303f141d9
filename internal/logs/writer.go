// Package logs writes log lines without ever blocking who logs.
package logs

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// flushInterval is how long lines gather. What a crash finds gathered is lost.
	flushInterval = 100 * time.Millisecond
	// maxPending bounds what is gathered while the reader doesn't read, in bytes:
	// about 2,000 lines. What doesn't fit is dropped and counted.
	maxPending = 512 << 10
)

// CloseTime is how long a process that ends waits for its last lines to be written.
const CloseTime = 500 * time.Millisecond

// Writer gathers lines and writes them in the background. A reader that stops
// reading costs lines, never time. It is safe for concurrent use.
type Writer struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	pending []byte // whole lines; at most maxPending; guarded by mu
	spare   []byte // to gather in next; guarded by mu
	dropped int    // lines since the last flush; guarded by mu
	closed  bool   // guarded by mu
}

// NewWriter makes a writer to out. Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It always succeeds.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > maxPending {
		w.dropped++
		return len(line), nil
	}
	if len(w.pending) == 0 {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Close writes what is gathered, and waits for that at most until the deadline.
func (w *Writer) Close(deadline time.Time) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.wake)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(time.Until(deadline)):
	}
}

// run writes what gathers. It sleeps while there is nothing to write.
func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		time.Sleep(flushInterval)
		w.flush()
	}
	w.flush()
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines, dropped := w.pending, w.dropped
	w.pending, w.dropped = w.spare[:0], 0
	w.mu.Unlock()
	w.out.Write(lines) // an output that is gone takes no line of its own either
	if dropped > 0 {
		fmt.Fprintf(w.out, "time=%s level=warn msg=\"log lines dropped\" count=%d\n",
			time.Now().Format(time.RFC3339Nano), dropped)
	}
	w.mu.Lock()
	w.spare = lines
	w.mu.Unlock()
}

// New makes a logger of logfmt lines. It returns an error for an unknown level.
func New(w io.Writer, level string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	return log.NewWithOptions(w, log.Options{
		Level: parsed, ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.LogfmtFormatter,
	}), nil
}
