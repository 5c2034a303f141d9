// Package logs writes log lines in the background, so that logging never blocks.
package logs

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// flushInterval is how long lines are buffered. Buffered lines are lost in a crash.
	flushInterval = 100 * time.Millisecond
	// maxPending is the maximum number of bytes buffered while the reader of the
	// output doesn't read: about 2,000 lines. Further lines are dropped and counted.
	maxPending = 512 << 10
)

// CloseTimeout is how long an exiting process waits for its last lines to be written.
const CloseTimeout = 500 * time.Millisecond

// Writer buffers lines and writes them in the background. If the reader of the output
// stops reading, lines are dropped, and Write doesn't block. It is safe for concurrent
// use.
type Writer struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	pending []byte // complete lines, at most maxPending bytes; guarded by mu
	spare   []byte // buffer for reuse after the next flush; guarded by mu
	dropped int    // lines dropped since the last flush; guarded by mu
	closed  bool   // guarded by mu
}

// NewWriter returns a writer to out, which must be closed after use.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line, or drops it if the buffer is full or closed. It never fails.
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

// Close flushes the buffered lines. It waits for that no longer than until the deadline.
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

// run flushes buffered lines until Close. It blocks while there is nothing to write.
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
	w.out.Write(lines) // an error can't be logged, as the log output itself failed
	if dropped > 0 {
		fmt.Fprintf(w.out, "time=%s level=warn msg=\"log lines dropped\" count=%d\n",
			time.Now().Format(time.RFC3339Nano), dropped)
	}
	w.mu.Lock()
	w.spare = lines
	w.mu.Unlock()
}

// New returns a logger of logfmt lines. It returns an error for an unknown level.
func New(w io.Writer, level string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	return log.NewWithOptions(w, log.Options{
		Level: parsed, ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.LogfmtFormatter,
	}), nil
}
