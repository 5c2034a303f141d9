// Package rush plays callers who send requests to one instance at a rate, whether or not
// others have been answered, and leave when an answer takes too long.
package rush

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Rush is a crowd of such callers. They keep their connections, and close one on which an
// answer is due when they leave.
type Rush struct {
	address     string
	timeout     time.Duration
	requestHead func(id string) string

	answered, refused, abandoned atomic.Int64

	mu   sync.Mutex
	idle []net.Conn // guarded by mu
}

// New makes callers of an instance who wait for timeout. head is a whole request without a
// body, by its ID.
func New(address string, timeout time.Duration, requestHead func(id string) string) *Rush {
	return &Rush{address: address, timeout: timeout, requestHead: requestHead}
}

// Answered is how many requests got an answer with success.
func (r *Rush) Answered() int64 { return r.answered.Load() }

// All is how many requests ended.
func (r *Rush) All() int64 { return r.answered.Load() + r.refused.Load() + r.abandoned.Load() }

func (r *Rush) String() string {
	return fmt.Sprintf("%d answered, %d refused, %d left", r.answered.Load(), r.refused.Load(), r.abandoned.Load())
}

// pollInterval is the pause between two looks at what is due.
const pollInterval = time.Millisecond

// Play sends at a rate, in requests a second, for a time, and returns the answers a second in
// its second half.
func (r *Rush) Play(rate float64, duration time.Duration) float64 {
	var sends sync.WaitGroup
	begin, halfAnswered, sent := time.Now(), int64(-1), 0
	for elapsed := time.Duration(0); elapsed < duration; elapsed = time.Since(begin) {
		if elapsed > duration/2 && halfAnswered < 0 {
			halfAnswered = r.answered.Load()
		}
		for due := int(elapsed.Seconds() * rate); sent < due; sent++ {
			id := fmt.Sprintf("%p-%d", r, sent)
			sends.Go(func() { r.send(id) })
		}
		time.Sleep(pollInterval)
	}
	answers := float64(r.answered.Load()-halfAnswered) / (duration / 2).Seconds()
	sends.Wait()
	r.closeIdle()
	return answers
}

func (r *Rush) closeIdle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.idle {
		c.Close()
	}
	r.idle = nil
}

func (r *Rush) send(id string) {
	deadline := time.Now().Add(r.timeout)
	c := r.takeIdle()
	if c == nil {
		var err error
		if c, err = (&net.Dialer{Deadline: deadline}).Dial("tcp", r.address); err != nil {
			r.abandoned.Add(1)
			return
		}
	}
	status, err := r.exchange(c, deadline, id)
	switch {
	case err != nil:
		r.abandoned.Add(1)
		c.Close()
		return
	case status == http.StatusOK:
		r.answered.Add(1)
	default:
		r.refused.Add(1)
	}
	r.putIdle(c)
}

func (r *Rush) exchange(c net.Conn, deadline time.Time, id string) (status int, err error) {
	if err := c.SetDeadline(deadline); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(c, r.requestHead(id)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 1<<10), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// takeIdle returns a connection that is open; nil if there is none.
func (r *Rush) takeIdle() net.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := len(r.idle) - 1
	if last < 0 {
		return nil
	}
	c := r.idle[last]
	r.idle = r.idle[:last]
	return c
}

func (r *Rush) putIdle(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.idle = append(r.idle, c)
}
