package link

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// delayLineSize is how many bytes are on their way in one direction at most, enough
// for 800 Mbit/s over 40 ms.
const delayLineSize = 4 << 20

// delayLine delays one direction of a stream and keeps its order: bytes are put in
// with the time at which they come out.
type delayLine struct {
	path    *path
	writeMu sync.Mutex // held by the one that waits for room
	readMu  sync.Mutex // held by the one that waits for bytes

	mu       sync.Mutex
	chunks   []chunk // in order; one that is due waits for those before it
	size     int     // bytes in chunks, at most lineSize plus one chunk
	linkFree time.Time
	endErr   error // what comes after the chunks; nil while open

	readable chan struct{} // signals to take
	writable chan struct{} // signals to put
}

// chunk is some bytes, or the end of the stream when there are none.
type chunk struct {
	data    []byte
	arrival time.Time
}

func newDelayLine(p *path) *delayLine {
	return &delayLine{path: p, readable: make(chan struct{}, 1), writable: make(chan struct{}, 1)}
}

// write puts a copy of b in, waiting for room until stop is closed or the
// deadline passes.
func (l *delayLine) write(b []byte, stop, deadline <-chan struct{}) (int, error) {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	for {
		f, changed := l.path.state()
		if f.Refuse {
			return 0, syscall.ECONNRESET
		}
		if done, err := l.tryWrite(b, f); done {
			return len(b), err
		}
		select {
		case <-l.writable:
		case <-changed:
		case <-stop:
			return 0, net.ErrClosed
		case <-deadline:
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// tryWrite returns false when there's no room.
func (l *delayLine) tryWrite(b []byte, f Fault) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endErr != nil {
		return true, net.ErrClosed
	}
	if l.size >= delayLineSize {
		return false, nil
	}
	l.chunks = append(l.chunks, chunk{data: append([]byte(nil), b...), arrival: l.arrival(len(b), f)})
	l.size += len(b)
	notify(l.readable)
	return true, nil
}

// arrival returns when n bytes that are sent now come out.
func (l *delayLine) arrival(n int, f Fault) time.Time {
	sent := time.Now()
	if f.Bandwidth > 0 {
		if l.linkFree.After(sent) {
			sent = l.linkFree
		}
		sent = sent.Add(time.Duration(float64(n) / float64(f.Bandwidth) * float64(time.Second)))
		l.linkFree = sent
	}
	due := sent.Add(l.path.oneWay(f))
	if l.path.links.chance(f.Loss) {
		due = due.Add(retransmitDelay)
	}
	return due
}

// end puts the end of the stream in: readers get err after all bytes.
func (l *delayLine) end(err error) {
	f, _ := l.path.state()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endErr != nil {
		return
	}
	l.endErr = err
	l.chunks = append(l.chunks, chunk{arrival: l.arrival(0, f)})
	notify(l.readable)
}

// read takes bytes out that are due, waiting for them until stop is closed or
// the deadline passes.
func (l *delayLine) read(b []byte, stop, deadline <-chan struct{}) (int, error) {
	l.readMu.Lock()
	defer l.readMu.Unlock()
	for {
		f, changed := l.path.state()
		if f.Refuse {
			return 0, syscall.ECONNRESET
		}
		n, due, err := l.tryRead(b, f)
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
func (l *delayLine) wait(due time.Time, changed, stop, deadline <-chan struct{}) error {
	var fired <-chan time.Time
	if !due.IsZero() {
		timer := l.path.links.clock.Timer(due)
		defer timer.Stop()
		fired = timer.C
	}
	select {
	case <-fired:
	case <-l.readable:
	case <-changed:
	case <-stop:
		return net.ErrClosed
	case <-deadline:
		return os.ErrDeadlineExceeded
	}
	return nil
}

// tryRead takes what is due. With nothing due it returns when the next
// chunk is; zero when there's none or the path is cut.
func (l *delayLine) tryRead(b []byte, f Fault) (int, time.Time, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.Cut || len(l.chunks) == 0 {
		return 0, time.Time{}, nil
	}
	n, now := 0, time.Now()
	for n < len(b) && len(l.chunks) > 0 {
		first := &l.chunks[0]
		if first.arrival.After(now) {
			return l.consume(n), first.arrival, nil
		}
		if len(first.data) == 0 {
			if n == 0 {
				return 0, time.Time{}, l.endErr
			}
			break
		}
		m := copy(b[n:], first.data)
		n += m
		first.data = first.data[m:]
		if len(first.data) == 0 {
			l.chunks = l.chunks[1:]
		}
	}
	return l.consume(n), time.Time{}, nil
}

func (l *delayLine) consume(n int) int {
	l.size -= n
	if n > 0 {
		notify(l.writable)
	}
	return n
}

// notify wakes the one who waits, now or next.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
