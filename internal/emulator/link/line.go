package link

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// lineSize is how many bytes are on their way in one direction at most, enough
// for 800 Mbit/s over 40 ms.
const lineSize = 4 << 20

// line delays one direction of a stream and keeps its order: bytes are put in
// with the time at which they come out.
type line struct {
	path *path
	put  sync.Mutex // held by the one that waits for room
	take sync.Mutex // held by the one that waits for bytes

	mu     sync.Mutex
	chunks []chunk // in order; one that is due waits for those before it
	size   int     // bytes in chunks, at most lineSize plus one chunk
	free   time.Time
	ended  error // what comes after the chunks; nil while open

	filled  chan struct{} // signals to take
	emptied chan struct{} // signals to put
}

// chunk is some bytes, or the end of the stream when there are none.
type chunk struct {
	b   []byte
	due time.Time
}

func newLine(p *path) *line {
	return &line{path: p, filled: make(chan struct{}, 1), emptied: make(chan struct{}, 1)}
}

// write puts a copy of b in, waiting for room until stop is closed or the
// deadline passes.
func (l *line) write(b []byte, stop, deadline <-chan struct{}) (int, error) {
	l.put.Lock()
	defer l.put.Unlock()
	for {
		f, changed := l.path.state()
		if f.Refuse {
			return 0, syscall.ECONNRESET
		}
		if done, err := l.tryPut(b, f); done {
			return len(b), err
		}
		select {
		case <-l.emptied:
		case <-changed:
		case <-stop:
			return 0, net.ErrClosed
		case <-deadline:
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// tryPut returns false when there's no room.
func (l *line) tryPut(b []byte, f Fault) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended != nil {
		return true, net.ErrClosed
	}
	if l.size >= lineSize {
		return false, nil
	}
	l.chunks = append(l.chunks, chunk{b: append([]byte(nil), b...), due: l.due(len(b), f)})
	l.size += len(b)
	signal(l.filled)
	return true, nil
}

// due returns when n bytes that are sent now come out.
func (l *line) due(n int, f Fault) time.Time {
	sent := time.Now()
	if f.Bandwidth > 0 {
		if l.free.After(sent) {
			sent = l.free
		}
		sent = sent.Add(time.Duration(float64(n) / float64(f.Bandwidth) * float64(time.Second)))
		l.free = sent
	}
	due := sent.Add(l.path.oneWay(f))
	if l.path.links.chance(f.Loss) {
		due = due.Add(resend)
	}
	return due
}

// end puts the end of the stream in: readers get err after all bytes.
func (l *line) end(err error) {
	f, _ := l.path.state()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended != nil {
		return
	}
	l.ended = err
	l.chunks = append(l.chunks, chunk{due: l.due(0, f)})
	signal(l.filled)
}

// read takes bytes out that are due, waiting for them until stop is closed or
// the deadline passes.
func (l *line) read(b []byte, stop, deadline <-chan struct{}) (int, error) {
	l.take.Lock()
	defer l.take.Unlock()
	for {
		f, changed := l.path.state()
		if f.Refuse {
			return 0, syscall.ECONNRESET
		}
		n, due, err := l.tryTake(b, f)
		if n > 0 || err != nil {
			return n, err
		}
		if err := l.wait(due, changed, stop, deadline); err != nil {
			return 0, err
		}
	}
}

// wait returns when there may be something to take: when the timer of the next
// chunk ends, or something changes.
func (l *line) wait(due time.Time, changed, stop, deadline <-chan struct{}) error {
	var fired <-chan time.Time
	if !due.IsZero() {
		timer := l.path.links.clock.Timer(due)
		defer timer.Stop()
		fired = timer.C
	}
	select {
	case <-fired:
	case <-l.filled:
	case <-changed:
	case <-stop:
		return net.ErrClosed
	case <-deadline:
		return os.ErrDeadlineExceeded
	}
	return nil
}

// tryTake takes what is due. With nothing due it returns when the next
// chunk is; zero when there's none or the path is cut.
func (l *line) tryTake(b []byte, f Fault) (int, time.Time, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.Cut || len(l.chunks) == 0 {
		return 0, time.Time{}, nil
	}
	n, now := 0, time.Now()
	for n < len(b) && len(l.chunks) > 0 {
		first := &l.chunks[0]
		if first.due.After(now) {
			return l.took(n), first.due, nil
		}
		if len(first.b) == 0 {
			if n == 0 {
				return 0, time.Time{}, l.ended
			}
			break
		}
		m := copy(b[n:], first.b)
		n += m
		first.b = first.b[m:]
		if len(first.b) == 0 {
			l.chunks = l.chunks[1:]
		}
	}
	return l.took(n), time.Time{}, nil
}

func (l *line) took(n int) int {
	l.size -= n
	if n > 0 {
		signal(l.emptied)
	}
	return n
}

// signal wakes the one who waits, now or next.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
