package callers

import (
	"context"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/pace"
)

// linkPacer limits the rate of bulk bytes that leave this instance's place. It is safe for
// concurrent use.
type linkPacer struct {
	now func() time.Time

	mu   sync.Mutex
	pace pace.Link // guarded by mu
}

// chunk returns how many bytes to send at a time at a rate in bytes/s.
func (l *linkPacer) chunk(rate int64) int {
	if rate == 0 {
		return chunkSize
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pace.SetRate(l.now(), rate)
	return l.pace.ChunkSize(chunkSize)
}

// wait blocks until n bytes may be sent. rate is this instance's share in bytes/s; with 0 it
// returns at once. It returns ctx's error if ctx ends first.
func (l *linkPacer) wait(ctx context.Context, rate int64, n int) error {
	if rate == 0 || n == 0 {
		return nil
	}
	l.mu.Lock()
	now := l.now()
	l.pace.SetRate(now, rate)
	at := l.pace.Reserve(now, n)
	l.mu.Unlock()
	if !at.After(now) {
		return nil
	}
	t := time.NewTimer(at.Sub(now))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
