package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// stallingOutput is an output whose reader can stop reading.
type stallingOutput struct {
	mu   sync.Mutex // held by a test to stop reading
	text bytes.Buffer
}

func (o *stallingOutput) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func TestWriter(t *testing.T) {
	var out stallingOutput
	w := NewWriter(&out)
	for range 10 {
		w.Write([]byte("line\n"))
	}
	w.Close(time.Now().Add(5 * time.Second))
	if got, want := out.text.String(), strings.Repeat("line\n", 10); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// If the reader of the output stops reading, lines are dropped and counted, and Write does
// not block.
func TestWriterNeverBlocks(t *testing.T) {
	var out stallingOutput
	w := NewWriter(&out)
	out.mu.Lock()
	line := []byte(strings.Repeat("x", 1023) + "\n")
	begin := time.Now()
	const lines = 5000
	for range lines {
		w.Write(line)
	}
	if took := time.Since(begin); took > 2*time.Second {
		t.Errorf("got %s for %d lines without a reader, want at most 2s", took, lines)
	}
	out.mu.Unlock()
	w.Close(time.Now().Add(5 * time.Second))
	text := out.text.String()
	if !strings.Contains(text, "log lines dropped") {
		t.Error("got no line with the number of dropped lines, want one")
	}
	if got := len(text); got > 3*maxPending {
		t.Errorf("got %d bytes written, want at most three times maxPending", got)
	}
}

func TestLimiter(t *testing.T) {
	l := NewLimiter(2)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for i, want := range []bool{true, true, false, false} {
		if _, got := l.Allow(now); got != want {
			t.Errorf("line %d: got %t, want %t", i, got, want)
		}
	}
	suppressed, ok := l.Allow(now.Add(time.Second))
	if !ok || suppressed != 2 {
		t.Errorf("got %t with %d suppressed, want 2", ok, suppressed)
	}
}

func BenchmarkLine(b *testing.B) {
	w := NewWriter(&stallingOutput{})
	logger, err := New(w, "info")
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		logger.Warn("request", "id", "9c41d07be2a35f68", "object", "17", "route", "r-1", "service", "s", "config", 7,
			"status", 503, "took", time.Millisecond, "left", time.Second, "attempts", 1, "target", "i-7f3a91c2", "wait",
			time.Millisecond, "cost", time.Millisecond, "home", true, "cold", false, "busy", 3, "load-age", time.Second)
	}
}
