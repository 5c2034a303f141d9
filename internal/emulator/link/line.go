package link

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// delayLineSize bounds the bytes in transit in one direction: enough for 800 Mbit/s over 40 ms.
const delayLineSize = 4 << 20

// delayLine delays one direction of a stream and preserves its order: it queues bytes with the
// time of their arrival.
type delayLine struct {
	path    *path
	writeMu sync.Mutex // held by a write, also while it waits for free space
	readMu  sync.Mutex // held by a read, also while it waits for bytes

	mu       sync.Mutex
	chunks   []chunk   // in order; a chunk that has arrived waits for those before it
	size     int       // bytes in chunks, at most delayLineSize plus one chunk
	linkFree time.Time // when the bandwidth limit allows the next bytes
	endErr   error     // returned to readers after the chunks; nil while open

	readable chan struct{} // notifies a waiting read
	writable chan struct{} // notifies a waiting write
}

// chunk holds bytes of the stream, or is the end of the stream if it has none.
type chunk struct {
	data    []byte
	arrival time.Time
}

func newDelayLine(p *path) *delayLine {
	return &delayLine{path: p, readable: make(chan struct{}, 1), writable: make(chan struct{}, 1)}
}

// write queues a copy of b. It waits for free space until stop is closed or the deadline
// passes.
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

// tryWrite queues a copy of b. It returns false if there is no free space.
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

// arrival returns the time at which n bytes that are sent now arrive. l.mu is held.
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

// end queues the end of the stream: readers get err after all bytes.
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

// read removes bytes that have arrived. It waits for them until stop is closed or the deadline
// passes.
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

// wait returns nil when a read should be tried again: at due, the arrival of the next chunk, or
// when the queue or the path's fault changes.
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

// tryRead removes bytes that have arrived. If there are none, it returns the arrival of the next
// chunk, or zero if there is none or the path is cut.
func (l *delayLine) tryRead(b []byte, f Fault) (int, time.Time, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.Partition || len(l.chunks) == 0 {
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

// consume frees the space of n bytes and returns n. l.mu is held.
func (l *delayLine) consume(n int) int {
	l.size -= n
	if n > 0 {
		notify(l.writable)
	}
	return n
}

// notify wakes the goroutine that waits on c, or the next one to wait.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
