package main

import (
	"bufio"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	logBuffer = 64 << 10
	logFlush  = 100 * time.Millisecond
)

// lineWriter gathers lines, so that a decision does not wait for a write of its
// own. What a crash finds in the buffer, a tenth of a second at most, is lost.
type lineWriter struct {
	mu  sync.Mutex
	buf *bufio.Writer // guarded by mu
}

// newLineWriter makes a writer that writes to w in the background, for as long
// as the process runs.
func newLineWriter(w io.Writer) *lineWriter {
	l := &lineWriter{buf: bufio.NewWriterSize(w, logBuffer)}
	go func() {
		for range time.Tick(logFlush) {
			l.Flush()
		}
	}()
	return l
}

// Write takes one line.
func (l *lineWriter) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

// Flush writes what was gathered.
func (l *lineWriter) Flush() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Flush()
}

// newLogger makes a logger of logfmt lines. The library's text format costs ten
// times as much a line, under one lock.
func newLogger(w io.Writer, level string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	return log.NewWithOptions(w, log.Options{
		Level: parsed, ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.LogfmtFormatter,
	}), nil
}
